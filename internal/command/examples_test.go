package command

import (
	"cactusspar/internal/entry"
	"cactusspar/internal/rules"
	"cactusspar/internal/settings"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const examplesDir = "../../examples"

// TestExamplesParse guards against an example that the programs refuse, a file
// that no program reads, and two processes on the same port.
func TestExamplesParse(t *testing.T) {
	addresses := map[string]string{}
	take := func(t *testing.T, file string, listeners ...settings.Listener) {
		for _, l := range listeners {
			ip, err := settings.ParseAddress(l.Address)
			require.NoError(t, err)
			require.True(t, ip.IsLoopback(), "%s: %s", file, l.Address)
			require.Empty(t, addresses[l.Address], "%s uses %s as well", file, l.Address)
			addresses[l.Address] = file
		}
	}
	for _, user := range []string{"kilwa-reef", "turnio"} {
		t.Run(user, func(t *testing.T) {
			dir := filepath.Join(examplesDir, user)
			r := parseExampleRules(t, filepath.Join(dir, "fleet.rules"))
			files, err := os.ReadDir(dir)
			require.NoError(t, err)
			entries := 0
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
					take(t, file, s.Peer, s.Callers, s.Endpoints, s.Health)
					entries++
				default:
					t.Errorf("no program reads %s", file)
				}
			}
			require.Equal(t, 8, entries)
		})
	}
}

// parseExampleRules checks the sizes that the design page names for both users.
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
