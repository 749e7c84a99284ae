// Command cactusspar is under construction.
package main

func main() {}
