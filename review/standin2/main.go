package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 112 * time.Second

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// playFunc plays a case. It returns the broken rules, or an error if the case could not run.
type playFunc func(s *system, trouble bool) (broken []string, err error)

var cases = map[string]playFunc{
	"first-start":   playFirstStart,
	"odd-machine":   playOddMachine,
	"odd-report":    playOddReport,
	"large-jobs":    playLargeJobs,
	"label-crash":   playLabelCrash,
	"removed-route": playRemovedRoute,
	"late-poll":     playLatePoll,
	"rack-wave":     playRackWave,
}

func main() {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAMS RECORD; cases:", names)
		os.Exit(statusFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, programs, recordFile string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer record.close()
	s, err := newSystem(programs, record)
	if err != nil {
		record.printf("could not run: %v", err)
		return statusFailed
	}
	s.closeOnSignal()
	broken, err := cases[name](s, trouble)
	s.close()
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return statusFailed
	case len(broken) > 0:
		for _, b := range broken {
			record.printf("BROKEN %s", b)
		}
		return statusBroken
	}
	record.printf("held")
	return statusHeld
}

// closeOnSignal ends all processes and the case if it is interrupted or takes too long.
func (s *system) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		s.record.printf("could not run: interrupted or too slow")
		s.close()
		os.Exit(statusFailed)
	}()
}
