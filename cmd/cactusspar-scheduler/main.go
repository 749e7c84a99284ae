// Command cactusspar-scheduler runs a control replica that also schedules submitted jobs.
package main

import "cactusspar/platform"

func main() { platform.Main(platform.RunScheduler) }
