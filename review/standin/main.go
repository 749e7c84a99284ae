// Command standin plays the cases of the review: it starts the project's programs as separate
// processes, and is their workers, platform, operator and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is a case. It returns whether the rule was broken.
type play func(ctx context.Context, folder string, trouble bool) (bool, error)

// plays holds the cases of review/2 to review/5, and further ones that REPORT.md describes.
var plays = map[string]play{
	"overlap": playOverlap, "lost-kind": playLostKind, "failed-gang": playFailedGang, "late-leave": playLateLeave,
	"lost-advised": playLostAdvised, "removed-route": playRemovedRoute, "crashes": playCrashes,
}

// limit is the time after which a case is given up.
const limit = 115 * time.Second

func main() {
	const arguments = 3
	if len(os.Args) != arguments || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(p play, folder string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	wasBroken, err := p(ctx, folder, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	case wasBroken:
		fmt.Println("the rule was broken")
		return broken
	}
	fmt.Println("the rule held")
	return held
}
