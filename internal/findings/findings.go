// Package findings collects the problems found in an input file, each with its
// position, so that a checker can report all of them at once.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem at a position in a file. Line and Column count from 1.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// String formats the finding as "file:line:column: text".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// List is a list of findings. It implements error; an empty list means no error.
type List []Finding

// Add appends a finding whose text is formatted from format and args.
func (l *List) Add(file string, line, column int, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Column: column, Text: fmt.Sprintf(format, args...)})
}

// Err sorts the list by line and column and returns it as an error, or nil if it is
// empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
