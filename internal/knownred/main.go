// Command knownred runs `go test` and passes over failures of the tests that
// KNOWN-RED.txt lists. Usage:
//
//	knownred KNOWN-RED.txt go test [flags] [packages]
//
// It prints what `go test` prints, and the result of each listed test. It fails if
// any other test fails, if a test binary ends abnormally, and if a listed test was
// not run. Without listed tests it only runs the command.
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
	if len(args) < 3 || args[1] != "go" || args[2] != "test" {
		return false, errs.New("usage: knownred FILE go test [flags] [packages]")
	}
	listed, err := readList(args[0])
	if err != nil {
		return false, err
	}
	if len(listed) == 0 {
		cmd := exec.Command("go", args[2:]...)
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		return succeeded(cmd.Run())
	}
	cmd := exec.Command("go", slices.Insert(slices.Clone(args[2:]), 1, "-json")...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	c := newChecker(listed, os.Stdout)
	readErr := c.read(events)
	passed, err := succeeded(cmd.Wait())
	return c.verdict(passed) && readErr == nil, errors.Join(readErr, err)
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
