package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/findings"
	"cactusspar/internal/rules"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check rules files without a connection",
		ArgsUsage: "FILE...",
		Description: `Reports every finding as file:line:column: text. "-" reads the standard input.

Example:
  cactusspar check examples/kilwa-reef/fleet.rules`,
		Action: check,
	}
}

type checkResult struct {
	File     string        `json:"file"`
	Rules    int           `json:"rules"`
	Findings findings.List `json:"findings"`
}

func check(_ context.Context, c *cli.Command) error {
	files, err := arguments(c, "FILE...")
	if err != nil {
		return err
	}
	var results []checkResult
	var all findings.List
	for _, file := range files {
		result := checkResult{File: file, Findings: findings.List{}}
		r, err := readRules(c, file)
		var list findings.List
		switch {
		case errors.As(err, &list):
			result.Findings = list
			all = append(all, list...)
		case err != nil:
			return err
		default:
			result.Rules = len(r.List())
		}
		results = append(results, result)
	}
	if err := show(c, results, func(w io.Writer) error { return writeCheckResults(w, results) }); err != nil {
		return err
	}
	if len(all) > 0 {
		return &reportedError{all}
	}
	return nil
}

func writeCheckResults(w io.Writer, results []checkResult) error {
	for _, r := range results {
		if len(r.Findings) > 0 {
			_, _ = fmt.Fprintln(w, r.Findings.Error())
			continue
		}
		_, _ = fmt.Fprintf(w, "%s: %d rules, no findings\n", r.File, r.Rules)
	}
	return nil
}

// readRules reads and parses a rules file. It rejects a file without pools, because
// applying an empty file by mistake would take all instances out of service.
func readRules(c *cli.Command, file string) (*rules.Rules, error) {
	text, err := readInput(c, file)
	if err != nil {
		return nil, err
	}
	r, err := rules.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(r.Pools) == 0 {
		var list findings.List
		list.Add(file, 1, 1, "the file declares no pool")
		return nil, list
	}
	return r, nil
}

func readInput(c *cli.Command, file string) ([]byte, error) {
	in := c.Root().Reader
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, rules.MaxTextBytes+1))
}
