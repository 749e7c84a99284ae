// Command cactusspar-entry is under construction.
package main

func main() {}
