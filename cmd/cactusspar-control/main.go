// Command cactusspar-control is under construction.
package main

func main() {}
