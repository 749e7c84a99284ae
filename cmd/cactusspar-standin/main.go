// Command cactusspar-standin is under construction.
package main

func main() {}
