package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Size limits of a rules file. At the design size (386 pools, as many queues and
// 69 teams) the text takes about 100 KB. An applied text must fit into one frame
// between replicas.
const (
	MaxTextBytes      = 1 << 20
	MaxLineBytes      = 1024
	MaxLines          = 20_000
	maxFields         = 16
	maxNameBytes      = 63
	maxRequesterBytes = 100
	maxReasonBytes    = 500
)

// token is a word or a field value of a line. The column counts characters from 1.
type token struct {
	text   string
	column int
}

// line is one line, split into the words of the rule and the comment.
type line struct {
	number int
	words  []token
	source Source
}

// scanLine splits a line into words and comment. It returns false for a line
// without a rule, and for a malformed line after reporting the findings.
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
		p.addFinding(number, l.words[maxFields].column, "a rule has at most %d words", maxFields)
		return l, false
	}
	if !commented {
		p.addFinding(number, columnAt(text, len(text)), "expected a comment \"# WHO: why\" that says who asked for the rule")
		return l, true
	}
	p.scanComment(&l, comment, columnAt(text, len(rule)))
	return l, true
}

// checkBytes reports lines that are too long, are not valid UTF-8 or contain
// control characters other than tabs.
func (p *parser) checkBytes(number int, text string) bool {
	if len(text) > MaxLineBytes {
		p.addFinding(number, MaxLineBytes+1, "a line has at most %d bytes, this one has %d", MaxLineBytes, len(text))
		return false
	}
	column := 0
	for i, r := range text {
		column++
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(text[i:]); size == 1 {
				p.addFinding(number, column, "invalid UTF-8")
				return false
			}
		}
		if r != '\t' && unicode.IsControl(r) {
			p.addFinding(number, column, "control character %U", r)
			return false
		}
	}
	return true
}

// scanComment parses a comment of the form "WHO: why" into the source of the line.
func (p *parser) scanComment(l *line, comment string, column int) {
	requester, reason, found := strings.Cut(comment, ":")
	l.source.RequestedBy = strings.TrimSpace(requester)
	l.source.Reason = strings.TrimSpace(reason)
	switch {
	case !found:
		p.addFinding(l.number, column, "expected a colon in the comment \"# WHO: why\"")
	case l.source.RequestedBy == "":
		p.addFinding(l.number, column, "the comment does not say who asked for the rule: expected \"# WHO: why\"")
	case l.source.Reason == "":
		p.addFinding(l.number, column, "the comment does not say why %s asked for the rule: expected \"# WHO: why\"", l.source.RequestedBy)
	case len(l.source.RequestedBy) > maxRequesterBytes:
		p.addFinding(l.number, column, "the name of who asked has at most %d bytes", maxRequesterBytes)
	case len(l.source.Reason) > maxReasonBytes:
		p.addFinding(l.number, column, "the reason has at most %d bytes", maxReasonBytes)
	}
}

// splitWords splits a string at spaces and tabs.
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

// columnAt returns the column of a byte offset in s, in characters from 1.
func columnAt(s string, offset int) int {
	return utf8.RuneCountInString(s[:offset]) + 1
}

// validName reports whether s is a valid name: lower-case letters, digits and
// inner hyphens, at most maxNameBytes long.
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
