// Package settings loads the settings file of a process: JSON with comments and
// trailing commas. All problems in a file are reported together, each with its
// position. A settings file contains no secrets, only the names of the files that
// hold them; see File.
package settings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Limits of a settings file and of the findings reported about it.
const (
	MaxBytes    = 256 << 10
	maxDepth    = 32
	maxFindings = 200
)

// Checker is implemented by settings structs, at any level of nesting, whose values
// need validation beyond their types. Check is called after decoding, also for
// structs that are absent from the file.
type Checker interface {
	Check(c *Checks)
}

// Load decodes the settings file into the struct that into points to. Fields that
// are absent from the file keep their value, so the caller sets the defaults before
// the call. The error is a findings.List, unless the file can't be read.
func Load(path string, into any) error {
	text, err := readBounded(path, MaxBytes)
	if err != nil {
		return errs.New("settings: %w", err)
	}
	return Parse(path, text, into)
}

// Parse decodes a text that was read from file, in the same way as Load.
func Parse(file string, text []byte, into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return errs.New("settings: cannot load into %T, expected a pointer to a struct", into)
	}
	d := &decoder{file: file, dir: filepath.Dir(file), text: text, offsets: map[string]int{}, failed: map[string]bool{}}
	if v, ok := d.parseSyntax(); ok {
		d.decodeValue(v, target.Elem(), "")
		d.check(target.Elem(), "")
	}
	return d.findings.Err()
}

// parseSyntax parses the text into a syntax tree and reports a syntax error at its
// position.
func (d *decoder) parseSyntax() (hujson.Value, bool) {
	if at, deep := tooDeep(d.text); deep {
		d.addFinding(at, "nested more than %d levels deep", maxDepth)
		return hujson.Value{}, false
	}
	v, err := hujson.Parse(d.text)
	if err == nil {
		return v, true
	}
	line, column := 1, 1
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	d.findings.Add(d.file, line, column, "%s", text)
	return v, false
}

// tooDeep returns the offset of the first bracket nested deeper than maxDepth, and
// whether there is one. It runs before the parser and also counts brackets in
// strings and comments, so a file with many of them there may be rejected.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i, b := range text {
		switch b {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// readBounded reads a file of at most limit bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, errs.New("%s has more than %d bytes", path, limit)
	}
	return text, nil
}
