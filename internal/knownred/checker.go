package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// test is a top-level test.
type test struct{ pkg, name string }

var entryStart = regexp.MustCompile(`^test: ((?:Test|Fuzz|Example)\w*) \((\S+)\)$`)

// parseList returns the tests of a list. Each entry starts with a line
// "test: Name (package)", with the package's path in the module, and ends at an
// empty line. An entry that starts with "open:" names no test, so that nothing is
// passed over for it.
func parseList(r io.Reader, module string) ([]test, error) {
	var out []test
	inEntry := false
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		m := entryStart.FindStringSubmatch(line)
		switch {
		case m != nil:
			inEntry = true
			out = append(out, test{module + "/" + m[2], m[1]})
		case strings.HasPrefix(line, "open:") && !inEntry:
			inEntry = true
		case line == "":
			inEntry = false
		case !inEntry || strings.HasPrefix(line, "test:"):
			return nil, errs.New("line %d of the list: want \"test: Name (package)\", got %q", n, line)
		}
	}
	return out, lines.Err()
}

// event is an event of `go test -json`.
type event struct{ Action, Package, Test, Output string }

// checker decides from the events of one or more runs of `go test -json` whether only
// listed tests failed, and prints the output that `go test` has without -json.
type checker struct {
	listed   []test
	out      io.Writer
	failures []string
	ran      map[test]bool // listed tests that were run

	// State of the current run.
	packages map[string]*packageRun
	excused  bool // the failures of a package were passed over
	earlier  int  // failures of earlier runs
}

// packageRun is the run of the tests of one package.
type packageRun struct {
	ended   bool
	results map[string]string // last action, by test; "run" while the test runs
	output  map[string]string // by top-level test; "" for output of the package
	order   []string          // keys of output
}

func newChecker(listed []test, out io.Writer) *checker {
	return &checker{listed: listed, out: out, ran: map[test]bool{}, packages: map[string]*packageRun{}}
}

func (c *checker) handle(e *event) {
	if e.Package == "" {
		c.print(e.Output) // of the compiler
		return
	}
	p := c.packages[e.Package]
	if p == nil {
		p = &packageRun{results: map[string]string{}, output: map[string]string{}}
		c.packages[e.Package] = p
	}
	switch e.Action {
	case "output":
		p.addOutput(e)
	case "run":
		p.results[e.Test] = "run"
	case "pass", "fail", "skip":
		if e.Test == "" {
			p.ended = true
			c.packageEnded(e.Package, p, e.Action == "fail")
			return
		}
		p.results[e.Test] = e.Action
	}
}

func (p *packageRun) addOutput(e *event) {
	if strings.HasPrefix(e.Output, "=== ") {
		return
	}
	root, _, _ := strings.Cut(e.Test, "/")
	if _, known := p.output[root]; !known {
		p.order = append(p.order, root)
	}
	p.output[root] += e.Output
}

// packageEnded prints the output of a package and records its failures.
func (c *checker) packageEnded(name string, p *packageRun, failed bool) {
	own := p.output[""]
	if !failed {
		// `go test` prints only the last line for a package that passed.
		c.print(own[strings.LastIndex(strings.TrimSuffix(own, "\n"), "\n")+1:])
		return
	}
	for _, root := range p.order {
		if passed := p.results[root] == "pass" || p.results[root] == "skip"; root != "" && !passed {
			c.print(p.output[root])
		}
	}
	c.print(own)
	failures := c.packageFailures(name, p)
	c.failures = append(c.failures, failures...)
	c.excused = c.excused || len(failures) == 0
}

// dataRace is part of each report of the race detector.
const dataRace = "WARNING: DATA RACE"

// packageFailures returns the failures of a failed package that are not listed.
func (c *checker) packageFailures(name string, p *packageRun) []string {
	var out []string
	excused := false
	for t, result := range p.results {
		root, _, _ := strings.Cut(t, "/")
		listed := slices.Contains(c.listed, test{name, root})
		switch {
		case result == "run":
			out = append(out, fmt.Sprintf("%s %s did not end", name, t))
		case result == "fail" && !listed:
			out = append(out, fmt.Sprintf("%s %s failed", name, t))
		case result == "fail":
			excused = true
		}
	}
	for root, text := range p.output {
		if strings.Contains(text, dataRace) && !slices.Contains(c.listed, test{name, root}) {
			out = append(out, fmt.Sprintf("%s has a data race outside the listed tests", name))
		}
	}
	// A test binary that has run all of its tests prints FAIL as its last line. One
	// that panics, times out, exits early or can't be built doesn't.
	lines := strings.Split(strings.TrimSuffix(p.output[""], "\n"), "\n")
	last := len(lines) - 1
	if last < 1 || lines[last-1] != "FAIL" || !strings.HasPrefix(lines[last], "FAIL\t"+name+"\t") {
		out = append(out, name+" ended abnormally")
	}
	if len(out) == 0 && !excused {
		out = append(out, name+" failed without a failed test")
	}
	slices.Sort(out)
	return out
}

// endRun prints the results of the listed tests of the current run and records its
// failures. passed is whether `go test` did.
func (c *checker) endRun(passed bool) {
	for _, t := range c.listed {
		result := ""
		if p := c.packages[t.pkg]; p != nil {
			result = p.results[t.name]
		}
		switch result {
		case "fail":
			c.print(fmt.Sprintf("known red: %s %s failed\n", t.pkg, t.name))
		case "pass", "skip":
			c.print(fmt.Sprintf("known red: %s %s did not fail in this run (%s)\n", t.pkg, t.name, result))
		}
		if result != "" {
			c.ran[t] = true
		}
	}
	for name, p := range c.packages {
		if !p.ended {
			c.failures = append(c.failures, name+" has no result")
		}
	}
	if !passed && !c.excused && len(c.failures) == c.earlier {
		c.failures = append(c.failures, "go test failed without a failed package")
	}
	c.packages, c.excused, c.earlier = map[string]*packageRun{}, false, len(c.failures)
}

// verdict prints the failures of all runs, and reports whether there are none.
func (c *checker) verdict() bool {
	for _, t := range c.listed {
		if !c.ran[t] {
			c.failures = append(c.failures, fmt.Sprintf("%s %s is listed, but no such test was run", t.pkg, t.name))
		}
	}
	for _, f := range c.failures {
		c.print("not passed over: " + f + "\n")
	}
	return len(c.failures) == 0
}

func (c *checker) print(text string) { _, _ = io.WriteString(c.out, text) }
