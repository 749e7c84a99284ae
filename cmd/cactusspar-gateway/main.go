// Command cactusspar-gateway accepts jobs from callers and forwards them to the leader.
package main

import "cactusspar/platform"

func main() { platform.Main(platform.RunGateway) }
