package rules

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// fields holds the key=value words of a line. Each accessor reports a missing or
// invalid value at its column and marks the key as known.
type fields struct {
	p      *parser
	line   line
	values map[string]token
	keys   map[string]int // column of the key
	known  map[string]bool
}

// readFields parses the words of a line, starting at the given word index.
func (p *parser) readFields(l line, from int) *fields {
	f := &fields{p: p, line: l, values: map[string]token{}, keys: map[string]int{}, known: map[string]bool{}}
	for _, w := range l.words[min(from, len(l.words)):] {
		key, value, found := strings.Cut(w.text, "=")
		if !found || key == "" {
			p.addFinding(l.number, w.column, "expected key=value, found %q", w.text)
			continue
		}
		if _, duplicate := f.values[key]; duplicate {
			p.addFinding(l.number, w.column, "field %q is given twice", key)
			continue
		}
		f.keys[key] = w.column
		f.values[key] = token{value, w.column + columnAt(key, len(key))}
	}
	return f
}

// value returns the value of a key, and false if the key is absent.
func (f *fields) value(key string) (token, bool) {
	f.known[key] = true
	t, ok := f.values[key]
	return t, ok
}

// required returns the value of a key, and reports a finding if the key is absent.
func (f *fields) required(key string) (token, bool) {
	t, ok := f.value(key)
	if !ok {
		f.p.addFinding(f.line.number, f.line.words[0].column, "%s needs the field %q", f.line.words[0].text, key)
		f.p.invalid[f.line.number] = true
	}
	return t, ok
}

// number returns the value of a required key as an integer within bounds. It
// returns the minimum after reporting a missing or invalid value.
func (f *fields) number(key string, minimum, maximum int) int {
	t, ok := f.required(key)
	if !ok {
		return minimum
	}
	return f.parseNumber(key, t, minimum, maximum)
}

// optional returns the value of a key as an integer within bounds, or the default
// if the key is absent.
func (f *fields) optional(key string, minimum, maximum, def int) int {
	t, ok := f.value(key)
	if !ok {
		return def
	}
	return f.parseNumber(key, t, minimum, maximum)
}

func (f *fields) parseNumber(key string, t token, minimum, maximum int) int {
	n, err := strconv.Atoi(t.text)
	switch {
	case err != nil || t.text[0] == '+':
		f.p.addFinding(f.line.number, t.column, "%s=%s: expected a whole number", key, t.text)
	case n < minimum:
		f.p.addFinding(f.line.number, t.column, "%s=%s: expected at least %d", key, t.text, minimum)
	case n > maximum:
		f.p.addFinding(f.line.number, t.column, "%s=%s: expected at most %d", key, t.text, maximum)
	default:
		return n
	}
	f.p.invalid[f.line.number] = true
	return minimum
}

// duration returns the value of a key as a duration within bounds, or zero if the
// key is absent or its value is invalid.
func (f *fields) duration(key string, minimum, maximum time.Duration) time.Duration {
	t, ok := f.value(key)
	if !ok {
		return 0
	}
	d, err := ParseDuration(t.text)
	switch {
	case err != nil:
		f.p.addFinding(f.line.number, t.column, "%s=%s: %v", key, t.text, err)
	case d < minimum:
		f.p.addFinding(f.line.number, t.column, "%s=%s: expected at least %s", key, t.text, FormatDuration(minimum))
	case d > maximum:
		f.p.addFinding(f.line.number, t.column, "%s=%s: expected at most %s", key, t.text, FormatDuration(maximum))
	default:
		return d
	}
	f.p.invalid[f.line.number] = true
	return 0
}

// reference returns the value of a required key that names another rule. The name
// is resolved once all lines are parsed.
func (f *fields) reference(key, kind string) string {
	t, ok := f.required(key)
	if !ok {
		return ""
	}
	f.p.addReference(f.line, t, kind)
	return t.text
}

// oneOf returns the value of a required key, which must be one of the given words.
func (f *fields) oneOf(key string, words ...string) string {
	t, ok := f.required(key)
	if !ok {
		return ""
	}
	for _, w := range words {
		if t.text == w {
			return w
		}
	}
	f.p.addFinding(f.line.number, t.column, "%s=%s: expected %s", key, t.text, strings.Join(words, " or "))
	return ""
}

// column returns the column of a key's value, or of the rule if the key is absent.
func (f *fields) column(key string) int {
	if t, ok := f.values[key]; ok {
		return t.column
	}
	return f.line.words[0].column
}

// checkUnknown reports the keys that no accessor has read.
func (f *fields) checkUnknown() {
	var known []string
	for k := range f.known {
		known = append(known, k)
	}
	sort.Strings(known)
	expected := "no field"
	if len(known) > 0 {
		expected = strings.Join(known, ", ")
	}
	for k, column := range f.keys {
		if !f.known[k] {
			f.p.addFinding(f.line.number, column, "unknown field %q of %s: expected %s", k, f.line.words[0].text, expected)
		}
	}
}

var durationUnits = []struct {
	suffix string
	unit   time.Duration
}{
	{"d", 24 * time.Hour},
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
}

// ParseDuration parses a duration of the form integer and unit, where the unit is
// d, h, m or s.
func ParseDuration(s string) (time.Duration, error) {
	for _, u := range durationUnits {
		digits, found := strings.CutSuffix(s, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 31)
		if err != nil || int64(n) > int64(1<<63-1)/int64(u.unit) {
			break
		}
		return time.Duration(n) * u.unit, nil
	}
	return 0, errs.New("expected a whole number and a unit, such as 35d, 12h, 90m or 5s")
}

// FormatDuration formats a duration of whole seconds for ParseDuration, in the
// largest unit that divides it.
func FormatDuration(d time.Duration) string {
	for _, u := range durationUnits {
		if d != 0 && d%u.unit == 0 {
			return strconv.FormatInt(int64(d/u.unit), 10) + u.suffix
		}
	}
	return d.String()
}
