// Command ebonyemu is under construction.
package main

func main() {}
