// Command standin-3 runs the scripts of the third review. It starts the scheduler and the gateway
// of the deploy file as separate processes on loopback addresses, beside stand-ins of the platform,
// of workers, of clients and of an operator, and checks one rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario plays a case and returns what breaks the rule, if anything does.
type scenario struct {
	fleet  fleetShape
	config func(*configuration)
	play   func(*system) []string
}

// maxLength bounds the whole script.
const maxLength = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	target := flag.String("target", "target", "folder with the built programs")
	record := flag.String("record", "record.txt", "file that takes what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(run(*name, *target, *record, *trouble))
}

func run(name, target, record string, trouble bool) int {
	c, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return failed
	}
	s, err := newSystem(c.fleet, target, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	verdict := make(chan int, 1)
	go func() { verdict <- s.judge(c) }()
	select {
	case code := <-verdict:
		return code
	case <-ended:
		return failed
	case <-time.After(maxLength):
		s.note("script", "the script took too long")
		return failed
	}
}

// judge plays a case. A step that can't be taken ends it with a panic of the type cannotRun.
func (s *system) judge(c scenario) (code int) {
	defer func() {
		if r := recover(); r != nil {
			s.note("script", "the case couldn't run: %v", r)
			fmt.Println("couldn't run:", r)
			code = failed
		}
	}()
	s.start(c)
	breaks := c.play(s)
	for _, b := range breaks {
		s.note("broken", "%s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		return broken
	}
	s.note("held", "the rule held")
	fmt.Println("the rule held")
	return held
}

// cannotRun is why a case can't run.
type cannotRun string

func (s *system) require(ok bool, format string, args ...any) {
	if !ok {
		panic(cannotRun(fmt.Sprintf(format, args...)))
	}
}
