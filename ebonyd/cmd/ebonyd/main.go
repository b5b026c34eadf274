// Command ebonyd is under construction.
package main

func main() {}
