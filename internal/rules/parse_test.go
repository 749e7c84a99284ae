package rules

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/findings"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readValid(t testing.TB) string {
	text, err := os.ReadFile("testdata/valid.rules")
	require.NoError(t, err)
	return string(text)
}

// TestParseReadsEveryKind guards against a kind of rule whose fields, defaults or
// units are parsed wrongly.
func TestParseReadsEveryKind(t *testing.T) {
	text := readValid(t)
	r, err := Parse("valid.rules", []byte(text))
	require.NoError(t, err)
	require.Equal(t, text, r.Text, "the text must be kept byte for byte")
	require.Equal(t, Pool{
		Source: Source{Line: 5, RequestedBy: "Asha M., operations", Reason: "quotes must not wait"},
		Name:   "quotes", Min: 8, Max: 12, Unavailable: 1, Period: 35 * 24 * time.Hour, Slots: 8, Connections: 64,
	}, r.Pools["quotes"])
	require.Equal(t, 4, r.Pools["portal"].Slots)
	require.Equal(t, Queue{
		Source: Source{Line: 8, RequestedBy: "Juma K., sales", Reason: "public status page"},
		Name:   "status", Pool: "portal", Access: Open, Length: 500, Deadline: MaxDeadline,
	}, r.Queues["status"])
	require.Equal(t, 60, r.Teams["shops"].Limit)
	require.Equal(t, "coast", r.DataCentres["dar-1"].Region)
	require.Equal(t, "portal", r.Spare)
	require.Equal(t, 1, r.Domains["rack"].Unavailable)
	require.Equal(t, Weights{
		Source: Source{Line: 12, RequestedBy: "Asha M., operations", Reason: "peaks are perishable"},
		Buffer: 4, Share: 4, Rollout: 1, Moves: 1,
	}, r.Weights)
}

// TestFindingsReportPosition guards against findings that are lost or that have a
// wrong line or column.
func TestFindingsReportPosition(t *testing.T) {
	text, err := os.ReadFile("testdata/invalid.rules")
	require.NoError(t, err)
	_, err = Parse("invalid.rules", text)
	var list findings.List
	require.True(t, errors.As(err, &list))
	got := list.Error() + "\n"
	if *update {
		require.NoError(t, os.WriteFile("testdata/invalid.golden", []byte(got), 0o600))
	}
	want, err := os.ReadFile("testdata/invalid.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// TestParseEnforcesLimits guards against input that takes unbounded memory.
func TestParseEnforcesLimits(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"text":     {strings.Repeat("#\n", MaxTextBytes/2+1), "f:1:1: a rules file has at most 1048576 bytes"},
		"lines":    {strings.Repeat("\n", MaxLines+1), "f:20001:1: a rules file has at most 20000 lines"},
		"line":     {"region " + strings.Repeat("a", MaxLineBytes), "f:1:1025: a line has at most 1024 bytes"},
		"words":    {"team a " + strings.Repeat("b=1 ", 20) + "# A: b", "a rule has at most 16 words"},
		"name":     {"region " + strings.Repeat("a", 64) + " # A: b", "is not a name"},
		"asked":    {"region a # " + strings.Repeat("A", 101) + ": b", "at most 100 bytes"},
		"regions":  {numberedLines(maxRegions+1, "region r%d # A: b"), "f:65:8: at most 64 rules of kind region"},
		"findings": {numberedLines(maxFindings+2, "x%d"), "more than 1000 findings"},
		"control":  {"region a\x00 # A: b", "f:1:9: control character U+0000"},
		"encoding": {"region a # A: \xff", "f:1:15: invalid UTF-8"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text))
			require.ErrorContains(t, err, c.want)
			var list findings.List
			require.True(t, errors.As(err, &list))
			require.LessOrEqual(t, len(list), maxFindings+1)
		})
	}
}

// numberedLines returns n lines in the format, each with a different text for %d.
func numberedLines(n int, format string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Replace(format, "%d", strings.Repeat("x", i%40)+FormatDuration(time.Duration(i+1)*time.Second), 1) + "\n")
	}
	return b.String()
}

// FuzzParse guards against a panic, a finding without a position, and rules whose
// listed form does not parse to the same rules.
func FuzzParse(f *testing.F) {
	f.Add(readValid(f))
	invalid, err := os.ReadFile("testdata/invalid.rules")
	require.NoError(f, err)
	f.Add(string(invalid))
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse("f", []byte(text))
		if err != nil {
			var list findings.List
			require.True(t, errors.As(err, &list))
			for _, x := range list {
				require.Positive(t, x.Line)
				require.Positive(t, x.Column)
			}
			return
		}
		var listed strings.Builder
		for _, rule := range r.List() {
			listed.WriteString(rule.String() + "\n")
		}
		reparsed, err := Parse("listed", []byte(listed.String()))
		require.NoError(t, err)
		require.Empty(t, Diff(r, reparsed))
	})
}
