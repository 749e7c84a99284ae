package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
)

// Guards against contradictory settings that are accepted, and against problems
// that are reported without their position in the file.
func TestSettingsErrors(t *testing.T) {
	s := DefaultSettings()
	err := settings.Parse("s.json", []byte(`{
	"cluster": "kilwa", "name": "c1", "data_folder": "data", // no default
	"peer": {"address": "127.0.0.1:7001"}, "operator": {"address": "127.0.0.1:7002"},
	"snapshot_entries": 1, "operator_connections": 0, "body_memory_bytes": 2097152,
	"members": [
		{"name": "c1", "peer": "127.0.0.1:7009", "operator": "127.0.0.1:7002"},
		{"name": "c1", "peer": "127.0.0.1:7009", "operator": "nowhere"},
	],
}`), &s)
	require.EqualError(t, err, `s.json:4:22: 1, expected 10 to 1000000
s.json:4:49: 0, expected 1 to 65536
s.json:4:73: 2097152, expected 4194304 to 68719476736
s.json:6:26: 127.0.0.1:7009, but "peer" is 127.0.0.1:7001
s.json:7:12: the name "c1" is used twice
s.json:7:26: the address 127.0.0.1:7009 is used twice
s.json:7:26: 127.0.0.1:7009, but "peer" is 127.0.0.1:7001
s.json:7:56: "nowhere": expected an IP address and port, such as 127.0.0.1:7001`)
}

// Guards against control processes whose listeners, operator interface, health
// handlers or planned stop do not work together.
func TestProcessGroup(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 0)
	folder := t.TempDir()
	token := operator.NewSecret()
	tokens := filepath.Join(folder, "tokens")
	require.NoError(t, os.WriteFile(tokens, []byte(operator.TokenLine("asha", token)+"\n"), 0o600))
	var members []MemberSettings
	var addresses, health []string
	for n := range 3 {
		m := MemberSettings{Name: fmt.Sprintf("c%d", n+1), Peer: g.address("").Peer, Operator: g.address("").Peer}
		members = append(members, m)
		addresses = append(addresses, m.Operator)
		health = append(health, g.address("").Peer)
	}
	stop := map[int]func() error{}
	for n, m := range members {
		s := DefaultSettings()
		s.Cluster, s.Name, s.DataFolder = "test", m.Name, settings.File(filepath.Join(folder, m.Name))
		s.Peer, s.Operator = settings.Listener{Address: m.Peer}, settings.Listener{Address: m.Operator}
		s.Health = &settings.Listener{Address: health[n]}
		s.OperatorTokens, s.Members = settings.File(tokens), members
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- RunProcess(ctx, s, logr.Discard()) }()
		stop[n] = func() error {
			cancel()
			return <-ended
		}
	}
	status := func(n int, path string) int {
		response, err := http.Get("http://" + health[n] + path)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	for n := range members {
		require.Eventually(t, func() bool { return status(n, "/readyz") == http.StatusOK }, 15*time.Second, 10*time.Millisecond)
		require.Equal(t, http.StatusOK, status(n, "/livez"))
		require.Equal(t, http.StatusOK, status(n, "/metrics"))
	}
	client, err := operator.NewClient(operator.ClientOptions{Addresses: addresses, Token: token})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err = client.Apply(ctx, 0, rulesText(2, 1))
	require.NoError(t, err)

	// A stopping leader transfers its leadership, so the next change does not wait
	// for an election timeout.
	for n := range members {
		began := time.Now()
		require.NoError(t, stop[n]())
		require.Less(t, time.Since(began), stopTimeout+closeTimeout)
		if n == 0 {
			_, err = client.Apply(ctx, 1, rulesText(3, 1))
			require.NoError(t, err)
		}
	}
}
