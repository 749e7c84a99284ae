// Command knownred runs `go test` and passes over failures of the tests that
// KNOWN-RED.txt lists. Usage:
//
//	knownred KNOWN-RED.txt go test [flags] [packages] [-- go test [flags] [packages]]...
//
// The runs follow each other. It prints what `go test` prints, and the result of each
// listed test. It fails if any other test fails, if a test binary ends abnormally, and
// if a listed test was not run by any of the runs. Without listed tests it only runs
// the commands.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"runtime/debug"
	"slices"

	"github.com/zeebo/errs"
)

func main() {
	ok, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(args []string) (ok bool, err error) {
	if len(args) == 0 {
		return false, errUsage
	}
	commands, err := splitCommands(args[1:])
	if err != nil {
		return false, err
	}
	listed, err := readList(args[0])
	if err != nil {
		return false, err
	}
	ok = true
	if len(listed) == 0 {
		for _, command := range commands {
			cmd := exec.Command("go", command...)
			cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
			passed, runErr := succeeded(cmd.Run())
			ok, err = ok && passed, errors.Join(err, runErr)
		}
		return ok, err
	}
	c := newChecker(listed, os.Stdout)
	for _, command := range commands {
		err = errors.Join(err, c.run(command))
	}
	return c.verdict() && err == nil, err
}

var errUsage = errs.New("usage: knownred FILE go test [flags] [packages] [-- go test [flags] [packages]]...")

// splitCommands returns the arguments of each `go`, starting with "test".
func splitCommands(args []string) ([][]string, error) {
	var out [][]string
	for {
		end := slices.Index(args, "--")
		command := args
		if end >= 0 {
			command = args[:end]
		}
		if len(command) < 2 || command[0] != "go" || command[1] != "test" {
			return nil, errUsage
		}
		out = append(out, command[1:])
		if end < 0 {
			return out, nil
		}
		args = args[end+1:]
	}
}

// run runs one command and checks its events.
func (c *checker) run(command []string) error {
	cmd := exec.Command("go", slices.Insert(slices.Clone(command), 1, "-json")...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	readErr := c.read(events)
	passed, err := succeeded(cmd.Wait())
	c.endRun(passed)
	return errors.Join(readErr, err)
}

func readList(path string) ([]test, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nil, errs.New("the module path is not known")
	}
	return parseList(f, info.Main.Path)
}

// succeeded reports whether `go test` ended with status 0. Any status other than 0
// and 1 is an error.
func succeeded(err error) (bool, error) {
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 {
		return false, nil
	}
	return err == nil, err
}

// read processes the output of `go test -json`. Lines that are not events are
// printed as they are.
func (c *checker) read(r io.Reader) error {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		var e event
		switch {
		case len(line) == 0:
		case json.Unmarshal(line, &e) != nil:
			_, _ = c.out.Write(line)
		default:
			c.handle(&e)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
