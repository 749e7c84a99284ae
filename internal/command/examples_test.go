package command

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/entry"
	"cactusspar/internal/rules"
	"cactusspar/internal/settings"
)

const examplesDir = "../../examples"

// TestExampleSettingsAreValid guards against example files that the programs reject,
// files that no program reads, and two processes that use the same port.
func TestExampleSettingsAreValid(t *testing.T) {
	addresses := map[string]string{}
	claim := func(t *testing.T, file string, listeners ...settings.Listener) {
		for _, l := range listeners {
			ip, err := settings.ParseAddress(l.Address)
			require.NoError(t, err)
			require.True(t, ip.IsLoopback(), "%s: %s", file, l.Address)
			require.Empty(t, addresses[l.Address], "%s uses %s as well", file, l.Address)
			addresses[l.Address] = file
		}
	}
	for _, example := range []string{"kilwa-reef", "turnio"} {
		t.Run(example, func(t *testing.T) {
			dir := filepath.Join(examplesDir, example)
			r := parseExampleRules(t, filepath.Join(dir, "fleet.rules"))
			files, err := os.ReadDir(dir)
			require.NoError(t, err)
			entries, replicas := 0, 0
			var members []control.MemberSettings
			for _, f := range files {
				file := filepath.Join(dir, f.Name())
				switch {
				case f.Name() == "fleet.rules":
				case f.Name() == "operator.json":
					var s clientSettings
					require.NoError(t, settings.Load(file, &s))
					require.Len(t, s.Control, 3)
				case strings.HasPrefix(f.Name(), "entry-"):
					s := entry.DefaultSettings()
					require.NoError(t, settings.Load(file, &s))
					require.Equal(t, strings.TrimSuffix(f.Name(), ".json"), s.ID)
					require.Equal(t, r.DataCentres[s.DataCentre].Region, s.Region, file)
					claim(t, file, s.Peer, s.Callers, s.Endpoints, s.Health)
					entries++
				case strings.HasPrefix(f.Name(), "control-"):
					s := control.DefaultSettings()
					require.NoError(t, settings.Load(file, &s))
					require.Equal(t, strings.TrimSuffix(f.Name(), ".json"), s.Name)
					claim(t, file, s.Peer, s.Operator, *s.Health)
					if members == nil {
						members = s.Members
					}
					require.Equal(t, members, s.Members, "all replicas have the same initial members")
					require.Contains(t, members, control.MemberSettings{Name: s.Name, Peer: s.Peer.Address, Operator: s.Operator.Address})
					replicas++
				case strings.HasSuffix(f.Name(), ".token"), strings.HasSuffix(f.Name(), ".tokens"), f.Name() == "data":
					// Created when an operator runs the example; not part of it.
				default:
					t.Errorf("no program reads %s", file)
				}
			}
			require.Equal(t, 8, entries)
			require.Equal(t, 3, replicas)
		})
	}
}

// TestSettingsDocumentListsEveryField guards against a settings field that
// docs/SETTINGS.md does not describe.
func TestSettingsDocumentListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	for _, s := range []any{control.Settings{}, control.MemberSettings{}, entry.Settings{}, clientSettings{}, settings.Listener{}, settings.ServerTLS{}, settings.ClientTLS{}} {
		form := reflect.TypeOf(s)
		for i := range form.NumField() {
			name := form.Field(i).Tag.Get("json")
			require.Contains(t, string(page), "`"+name+"`", "%s", form)
		}
	}
}

// parseExampleRules parses an example rules file and checks the fleet sizes that the
// design document states for both examples.
func parseExampleRules(t *testing.T, file string) *rules.Rules {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	r, err := rules.Parse(file, text)
	require.NoError(t, err)
	require.Len(t, r.DataCentres, 4)
	require.Len(t, r.Pools, 5)
	for _, p := range r.Pools {
		require.GreaterOrEqual(t, p.Min, 8, p.Name)
		require.LessOrEqual(t, p.Max, 12, p.Name)
		require.Equal(t, []int{8, 64}, []int{p.Slots, p.Connections}, p.Name)
	}
	require.NotEmpty(t, r.Spare)
	return r
}
