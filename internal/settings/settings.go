// Package settings loads the settings file of a process: JSON with comments and
// trailing commas. All problems of a file are reported together, each with its
// place. Secrets are never part of a settings file; see File.
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

// Bounds of a settings file.
const (
	MaxBytes    = 256 << 10
	maxDepth    = 32
	maxFindings = 200
)

// Checker is implemented by a settings struct, or by a struct nested in one,
// whose values need checks beyond their types. Check runs after decoding, also
// for structs that are absent from the file.
type Checker interface {
	Check(c *Checks)
}

// Load reads the settings file into the struct that into points to. Fields that
// are absent from the file keep the value they have, so that the caller sets
// the defaults first. The error is a findings.List, unless the file cannot be read.
func Load(path string, into any) error {
	text, err := readBounded(path, MaxBytes)
	if err != nil {
		return errs.New("settings: %w", err)
	}
	return Parse(path, text, into)
}

// Parse is Load for a text that was read from file.
func Parse(file string, text []byte, into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return errs.New("settings: cannot load into %T, expected a pointer to a struct", into)
	}
	d := &decoder{file: file, dir: filepath.Dir(file), text: text, offsets: map[string]int{}, failed: map[string]bool{}}
	if v, ok := d.syntax(); ok {
		d.value(v, target.Elem(), "")
		d.check(target.Elem(), "")
	}
	return d.findings.Err()
}

// syntax parses the text and reports a syntax error at its place.
func (d *decoder) syntax() (hujson.Value, bool) {
	if at, deep := tooDeep(d.text); deep {
		d.add(at, "nested more than %d levels deep", maxDepth)
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

// tooDeep finds the first bracket beyond the allowed nesting. Brackets in
// strings and comments count as well, which only matters for unusual files.
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

// readBounded reads a regular file of at most the given size.
func readBounded(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		return nil, errs.New("%s has more than %d bytes", path, most)
	}
	return text, nil
}
