package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDiffListsRuleByRule guards against a change that is not shown to an operator
// before it is applied, and against changes reported for moved lines.
func TestDiffListsRuleByRule(t *testing.T) {
	text := readValid(t)
	before, err := Parse("before", []byte(text))
	require.NoError(t, err)
	changed := strings.Replace(text, "share=40 limit=60", "share=40 limit=70", 1)
	changed = strings.Replace(changed, "public status page", "public page", 1)
	changed = strings.Replace(changed, "domain rack", "domain datacentre", 1)
	changed = "\n\n" + strings.ReplaceAll(changed, "  ", " ")
	after, err := Parse("after", []byte(changed))
	require.NoError(t, err)
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, strings.Split(c.String(), "\n")...)
	}
	require.Equal(t, []string{
		"- queue status pool=portal access=open length=500 deadline=30s # Juma K., sales: public status page",
		"+ queue status pool=portal access=open length=500 deadline=30s # Juma K., sales: public page",
		"- team shops share=40 limit=60 # Juma K., sales: contract annex 2",
		"+ team shops share=40 limit=70 # Juma K., sales: contract annex 2",
		"- domain rack unavailable=1 # Asha M., operations: one rack at a time",
		"+ domain datacentre unavailable=1 # Asha M., operations: one rack at a time",
	}, got)
	require.Empty(t, Diff(before, before))
}

// TestFindByNameOrKind guards against a rule that the `explain` command can't find.
func TestFindByNameOrKind(t *testing.T) {
	r, err := Parse("valid.rules", []byte(readValid(t)))
	require.NoError(t, err)
	require.Len(t, r.Find("quotes"), 2)
	require.Len(t, r.Find("pool  quotes"), 1)
	require.Len(t, r.Find("weight"), 1)
	require.Equal(t, "Asha M., operations", r.Find("weight")[0].RequestedBy)
	require.Empty(t, r.Find("nothing"))
}
