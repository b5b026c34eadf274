// Command ebonyctl is under construction.
package main

func main() {}
