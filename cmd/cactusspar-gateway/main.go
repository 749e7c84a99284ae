// Command cactusspar-gateway takes callers' jobs and forwards them to the leader.
package main

import "cactusspar/platform"

func main() { platform.Main(platform.RunGateway) }
