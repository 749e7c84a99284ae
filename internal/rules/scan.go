package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of the text of a rules file. The design size (386 pools and as many
// queues, 69 teams) takes about 100 KB, and an applied text has to fit into one
// frame between replicas.
const (
	MaxTextBytes   = 1 << 20
	MaxLineBytes   = 1024
	MaxLines       = 20_000
	maxFields      = 16
	maxNameBytes   = 63
	maxAskedBytes  = 100
	maxReasonBytes = 500
)

// token is a word of a line. Column counts characters from 1.
type token struct {
	text   string
	column int
}

// line is one line split into its words and its comment.
type line struct {
	number int
	words  []token
	source Source
}

// scanLine splits a line. It returns false for a line without a rule and for a
// line that cannot be read, whose findings it reports.
func (p *parser) scanLine(number int, text string) (line, bool) {
	l := line{number: number, source: Source{Line: number}}
	if !p.checkBytes(number, text) {
		return l, false
	}
	rule, comment, commented := strings.Cut(text, "#")
	l.words = splitWords(rule)
	if len(l.words) == 0 {
		return l, false
	}
	if len(l.words) > maxFields {
		p.add(number, l.words[maxFields].column, "a rule has at most %d words", maxFields)
		return l, false
	}
	if !commented {
		p.add(number, columnAt(text, len(text)), "expected a comment \"# WHO: why\" that says who asked for the rule")
		return l, true
	}
	p.scanComment(&l, comment, columnAt(text, len(rule)))
	return l, true
}

// checkBytes refuses lines that are too long or hold invalid or control characters.
func (p *parser) checkBytes(number int, text string) bool {
	if len(text) > MaxLineBytes {
		p.add(number, MaxLineBytes+1, "a line has at most %d bytes, this one has %d", MaxLineBytes, len(text))
		return false
	}
	column := 0
	for i, r := range text {
		column++
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(text[i:]); size == 1 {
				p.add(number, column, "invalid UTF-8")
				return false
			}
		}
		if r != '\t' && unicode.IsControl(r) {
			p.add(number, column, "control character %U", r)
			return false
		}
	}
	return true
}

// scanComment reads "WHO: why" into the source of the line.
func (p *parser) scanComment(l *line, comment string, column int) {
	asked, reason, found := strings.Cut(comment, ":")
	l.source.Asked = strings.TrimSpace(asked)
	l.source.Reason = strings.TrimSpace(reason)
	switch {
	case !found:
		p.add(l.number, column, "expected a colon in the comment \"# WHO: why\"")
	case l.source.Asked == "":
		p.add(l.number, column, "the comment does not say who asked for the rule: expected \"# WHO: why\"")
	case l.source.Reason == "":
		p.add(l.number, column, "the comment does not say why %s asked for the rule: expected \"# WHO: why\"", l.source.Asked)
	case len(l.source.Asked) > maxAskedBytes:
		p.add(l.number, column, "the name of who asked has at most %d bytes", maxAskedBytes)
	case len(l.source.Reason) > maxReasonBytes:
		p.add(l.number, column, "the reason has at most %d bytes", maxReasonBytes)
	}
}

// splitWords splits at blanks and tabs.
func splitWords(s string) []token {
	var words []token
	column := 0
	start, startColumn := -1, 0
	for i, r := range s {
		column++
		blank := r == ' ' || r == '\t'
		if !blank && start < 0 {
			start, startColumn = i, column
		}
		if blank && start >= 0 {
			words = append(words, token{s[start:i], startColumn})
			start = -1
		}
	}
	if start >= 0 {
		words = append(words, token{s[start:], startColumn})
	}
	return words
}

// columnAt returns the column of the byte offset in s.
func columnAt(s string, offset int) int {
	return utf8.RuneCountInString(s[:offset]) + 1
}

// validName tells whether s is a name: lower-case letters, digits and inner hyphens.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
