package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
	"cactusspar/internal/state"
)

const fleetRules = `pool quotes min=1 max=4 unavailable=1 # Asha M., operations: quotes must not wait
pool portal min=1 max=4 unavailable=1 # Asha M., operations: status pages
queue quotes pool=quotes access=keyed length=10 # Juma K., sales: shops ask for quotes
team shops share=1 limit=2 # Juma K., sales: contract annex 2
`

// backend is a single replica whose commands are applied at once.
type backend struct {
	mu    sync.Mutex
	state *state.State
	// fail is returned in place of the result of commands that were applied.
	fail error
}

func (b *backend) Propose(_ context.Context, c state.Command) (state.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Time = time.Now()
	result := b.state.Apply(b.state.Index+1, c)
	return result, b.fail
}

func (b *backend) Read(_ context.Context, f func(*state.State)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.state)
	return nil
}

func (b *backend) Status() operator.Status {
	return operator.Status{
		Name: "control-1", Role: "leader", Findings: []string{"disk 91% full"},
		Members: []operator.ReplicaStatus{{Name: "control-1", Addr: "127.0.0.1:7101", Voter: true, Match: 3}},
	}
}

func (b *backend) AddReplica(context.Context, string, string) error { return nil }

func (b *backend) RemoveReplica(context.Context, string) error { return nil }

// bench is a control replica and the files of an operator.
type bench struct {
	t       *testing.T
	dir     string
	backend *backend
	server  *httptest.Server
	base    []string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), backend: &backend{state: state.New()}}
	code, line, errText := b.run("token", "--file", b.path("asha.token"), "asha")
	require.Zero(t, code, errText)
	tokens, err := operator.ParseTokens("tokens", line)
	require.NoError(t, err)
	b.server = httptest.NewServer(operator.NewServer(b.backend, operator.Options{Tokens: tokens}))
	t.Cleanup(b.server.Close)
	b.base = []string{"--control", strings.TrimPrefix(b.server.URL, "http://"), "--token-file", b.path("asha.token"), "--timeout", "2s"}
	return b
}

func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

func (b *bench) write(name, text string) string {
	require.NoError(b.t, os.WriteFile(b.path(name), []byte(text), 0o600))
	return b.path(name)
}

func (b *bench) run(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	all := append(append([]string{Name}, b.base...), args...)
	code = Run(context.Background(), all, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (b *bench) ok(args ...string) string {
	b.t.Helper()
	code, out, errText := b.run(args...)
	require.Zero(b.t, code, "%v: %s", args, errText)
	return out
}

func (b *bench) fails(want int, args ...string) string {
	b.t.Helper()
	code, _, errText := b.run(args...)
	require.Equal(b.t, want, code, "%v: %s", args, errText)
	return errText
}

// withFleet applies the rules and announces instances.
func (b *bench) withFleet() {
	b.ok("apply", b.write("fleet.rules", fleetRules))
	var instances []state.Instance
	for _, id := range []string{"q-1", "q-2", "q-3"} {
		instances = append(instances, state.Instance{ID: id, Pool: "quotes", DataCentre: "dar-1", Rack: id})
	}
	result := b.backend.state.Apply(b.backend.state.Index+1, state.Command{UpsertInstances: &state.UpsertInstances{Instances: instances}})
	require.Nil(b.t, result.Err)
}

// TestApplyShowsAndConflicts guards against rules that are applied unseen,
// changed on the way, or over a version that the operator did not expect.
func TestApplyShowsAndConflicts(t *testing.T) {
	b := newBench(t)
	file := b.write("fleet.rules", fleetRules)
	out := b.ok("apply", "--dry-run", file)
	require.Contains(t, out, "+ pool quotes min=1 max=4 unavailable=1 slots=8 connections=64 # Asha M., operations: quotes must not wait")
	require.Contains(t, out, "Nothing was applied.")
	require.Zero(t, b.backend.state.Config.Version)
	require.Contains(t, b.ok("apply", file), "Version 1 is in force.")
	require.Equal(t, fleetRules, b.ok("rules", "show"))
	require.Contains(t, b.ok("apply", file), "with the same text")
	b.write("fleet.rules", strings.Replace(fleetRules, "limit=2", "limit=3", 1))
	require.Contains(t, b.fails(exitRejected, "apply", "--expected", "0", file), "applied by asha")
	var done applied
	require.NoError(t, json.Unmarshal([]byte(b.ok("--output", "json", "apply", "--expected", "1", file)), &done))
	require.EqualValues(t, 2, done.Result.Version)
	require.Len(t, done.Changes, 1)
	require.Equal(t, 3, len(strings.Split(strings.TrimSpace(b.ok("rules", "history")), "\n")))
	require.Contains(t, b.ok("rules", "diff", "1"), "limit=3")
	require.Contains(t, b.ok("explain", "team", "shops"), "in force since version 2, applied by asha")
	require.Contains(t, b.ok("explain", "pool quotes"), "asked for by Asha M., operations: quotes must not wait\n  in force since version 1")
}

// TestCheckReportsAllFindings guards against a check that stops at the first
// finding or file, and against rules without a pool being applied by mistake.
func TestCheckReportsAllFindings(t *testing.T) {
	b := newBench(t)
	bad := b.write("bad.rules", "pool a min=2 max=1 unavailable=1 # A: b\nteam x share=0 limit=1 # A: b\n")
	empty := b.write("empty.rules", "# nothing\n")
	code, out, errText := b.run("check", bad, empty)
	require.Equal(t, exitFindings, code)
	require.Empty(t, errText)
	require.Equal(t, bad+":1:12: min=2 is above max=1 (asked for by A)\n"+bad+":2:14: share=0: expected at least 1\n"+
		empty+":1:1: the file declares no pool\n", out)
	b.fails(exitFindings, "apply", empty)
	b.fails(exitFindings, "--output", "json", "check", bad)
	b.fails(exitFailed, "check", b.path("missing.rules"))
}

// TestExitCodes guards against scripts that cannot tell why a command failed.
func TestExitCodes(t *testing.T) {
	b := newBench(t)
	b.withFleet()
	b.fails(exitUsage, "drain")
	b.fails(exitUsage, "unknown")
	b.fails(exitUsage, "keys", "unknown")
	b.fails(exitUsage, "move", "q-1", "portal", "extra")
	b.fails(exitUsage, "--output", "xml", "status")
	b.fails(exitNotFound, "instances", "q-9")
	b.fails(exitNotFound, "keys", "give", "nobody")
	b.ok("drain", "q-1")
	require.Contains(t, b.fails(exitRejected, "drain", "q-2"), "budget")
	b.ok("undrain", "q-1")
	b.fails(exitUnauthenticated, "--token-file", b.write("wrong.token", "x"), "teams")
	b.fails(exitUnauthenticated, "--token-file", b.path("wrong.token"), "status")
	b.backend.fail = operator.ErrUnknownOutcome
	b.fails(exitUnknown, "--timeout", "200ms", "drain", "q-3")
	b.base = []string{"--control", "127.0.0.1:1", "--timeout", "200ms"}
	b.fails(exitUnreachable, "teams")
	b.fails(exitUnreachable, "status")
}

// TestKeysAreShownOnce guards against a key that other users can read or that
// appears anywhere but in its file.
func TestKeysAreShownOnce(t *testing.T) {
	b := newBench(t)
	b.withFleet()
	out := b.ok("keys", "give", "--id", "k1", "--file", b.path("shops.key"), "shops")
	info, err := os.Stat(b.path("shops.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	secret, err := settings.File(b.path("shops.key")).Secret()
	require.NoError(t, err)
	require.NotContains(t, out, secret)
	require.Equal(t, operator.HashSecret(secret), b.backend.state.Keys["k1"].Hash)
	require.NotContains(t, b.ok("--output", "json", "keys", "list"), secret)
	b.fails(exitFailed, "keys", "give", "--file", b.path("shops.key"), "shops")
	b.fails(exitRejected, "keys", "give", "--id", "k1", "--file", b.path("second.key"), "shops")
	require.NoFileExists(t, b.path("second.key"), "a key that was not given is not kept")
	b.ok("keys", "withdraw", "k1")
	require.True(t, b.backend.state.Keys["k1"].Withdrawn())
	shown := b.ok("--output", "json", "keys", "give", "shops")
	var given givenKey
	require.NoError(t, json.Unmarshal([]byte(shown), &given))
	require.Equal(t, operator.HashSecret(given.Key), b.backend.state.Keys[given.ID].Hash)
}

// TestSettingsPrecedence guards against a flag that does not override the
// environment, or an environment that does not override the settings file.
func TestSettingsPrecedence(t *testing.T) {
	b := newBench(t)
	good := b.base[1]
	b.base = nil
	file := b.write("client.json", `{"control": ["127.0.0.1:1"], "token_file": "asha.token", "timeout": "300ms"}`)
	b.fails(exitUnreachable, "--settings", file, "teams")
	t.Setenv("CACTUSSPAR_CONTROL", good)
	b.ok("--settings", file, "teams")
	b.fails(exitUnreachable, "--settings", file, "--control", "127.0.0.1:2", "teams")
	require.Contains(t, b.fails(exitFindings, "--settings", b.write("bad.json", `{"token": "secret"}`), "teams"), "unknown field")
}

// TestCertificatesIdentifyOperators guards against an instance's certificate
// that is accepted as an operator's, and a client without any.
func TestCertificatesIdentifyOperators(t *testing.T) {
	b := newBench(t)
	b.ok("certs", "--dir", b.path("certs"), "--instance", "control-1", "--operator", "asha")
	b.ok("certs", "--dir", b.path("certs"), "--operator", "juma")
	file := func(name string) settings.File { return settings.File(b.path("certs/" + name)) }
	config, err := (&settings.ServerTLS{
		Certificate: file("control-1.pem"), Key: file("control-1-key.pem"), ClientCA: []settings.File{file("ca.pem")}, ClientOptional: true,
	}).Config()
	require.NoError(t, err)
	require.EqualValues(t, tls.VersionTLS13, config.MinVersion)
	server := httptest.NewUnstartedServer(operator.NewServer(b.backend, operator.Options{Certificates: true}))
	server.TLS = config
	server.StartTLS()
	t.Cleanup(server.Close)
	b.base = []string{"--control", strings.TrimPrefix(server.URL, "https://"), "--ca", string(file("ca.pem")), "--timeout", "1s"}
	as := func(name string) []string {
		return []string{"--cert", string(file(name + ".pem")), "--key", string(file(name + "-key.pem")), "apply", b.write("f", fleetRules)}
	}
	b.ok(as("juma")...)
	require.Equal(t, "juma", b.backend.state.Config.Author)
	b.fails(exitUnauthenticated, as("control-1")...)
	b.fails(exitUnauthenticated, "teams")
	b.ok("certs", "--dir", b.path("other"), "--instance", "x")
	b.fails(exitFailed, "--ca", b.path("other/ca.pem"), "teams")
	require.NoError(t, os.Chmod(string(file("juma-key.pem")), 0o644))
	require.Contains(t, b.fails(exitFailed, as("juma")...), "accessible to other users")
}

// TestEveryReadCommand guards against a command whose text or JSON form fails.
func TestEveryReadCommand(t *testing.T) {
	b := newBench(t)
	b.withFleet()
	b.ok("keys", "give", "--id", "k1", "shops")
	for _, c := range []struct{ args, want string }{
		{"teams", "Juma K., sales"},
		{"teams shops", "contract annex 2"},
		{"pools", "Asha M., operations"},
		{"pools quotes", "q-1,q-2,q-3"},
		{"instances --pool quotes", "q-3"},
		{"instances q-1", "dar-1"},
		{"keys list --team shops", "asha"},
		{"waves list", "STATUS"},
		{"jobs list", "STATUS"},
		{"entries", "INCARNATION"},
		{"status", "disk 91% full"},
		{"rules history", "asha"},
		{"watch --count 1", "instance q-1: active in pool quotes"},
		{"replicas add control-2 127.0.0.1:1", "Added replica control-2."},
	} {
		require.Contains(t, b.ok(strings.Fields(c.args)...), c.want, c.args)
		out := b.ok(append([]string{"--output", "json"}, strings.Fields(c.args)...)...)
		d := json.NewDecoder(strings.NewReader(out))
		for d.More() {
			var value any
			require.NoError(t, d.Decode(&value), c.args)
		}
	}
}

// TestWavesAndJobs guards against a call for waves or jobs that loses a field on
// the way to the control state.
func TestWavesAndJobs(t *testing.T) {
	b := newBench(t)
	b.withFleet()
	b.ok("waves", "start", "--id", "w1", "--instance", "q-2", "quotes")
	b.fails(exitRejected, "waves", "start", "quotes")
	b.ok("waves", "pause", "--reason", "judging day", "w1")
	require.Contains(t, b.ok("waves", "list", "--status", "paused"), "judging day")
	b.ok("waves", "resume", "w1")
	b.ok("waves", "stop", "w1")
	require.Equal(t, []string{"q-2"}, b.backend.state.Waves["w1"].Todo)
	require.Contains(t, b.ok("waves", "show", "w1"), "stopped")
	b.ok("jobs", "submit", "--id", "j1", "--team", "shops", "--pool", "quotes", "--kind", "urgent", "--priority", "2",
		"--cpu", "1500", "--memory-mb", "512", "--accelerators", "1", "--run", "90s")
	j := b.backend.state.Jobs["j1"]
	require.Equal(t, state.Resources{MilliCPU: 1500, MemoryMB: 512, Accelerators: 1}, j.Declared)
	require.Equal(t, 90*time.Second, j.DeclaredRun)
	require.Equal(t, []any{state.Urgent, 2, "shops", "quotes"}, []any{j.Kind, j.Priority, j.Team, j.Pool})
	file := b.write("jobs.json", `{"jobs": [{"id": "j2", "team": "shops", "pool": "quotes", "kind": "batch", "declared": {"milli_cpu": 1, "memory_mb": 1}}, // two
		{"id": "j3", "team": "shops", "pool": "quotes", "kind": "batch", "declared": {"milli_cpu": 1, "memory_mb": 1}}]}`)
	require.Contains(t, b.ok("jobs", "submit", "--file", file), "Submitted 2 jobs.")
	b.ok("jobs", "cancel", "j2", "j3")
	require.Equal(t, 3, strings.Count(b.ok("jobs", "list", "--status", "cancelled"), "\n"))
	require.Contains(t, b.ok("jobs", "show", "j1"), "1m30s")
}

// TestWatchPrintsChanges guards against a change that watch does not show.
func TestWatchPrintsChanges(t *testing.T) {
	b := newBench(t)
	b.withFleet()
	time.AfterFunc(100*time.Millisecond, func() { b.ok("drain", "q-2") })
	out := b.ok("watch", "--interval", "300ms", "--count", "3")
	require.Equal(t, 1, strings.Count(out, "instance q-2: active"))
	require.Equal(t, 1, strings.Count(out, "instance q-2: draining"))
}

// TestHelpHasExamples guards against a command without an example, and a shell
// completion that is not offered.
func TestHelpHasExamples(t *testing.T) {
	var walk func(c *cli.Command)
	walk = func(c *cli.Command) {
		if len(c.Commands) == 0 {
			require.Contains(t, c.Description, "Example", c.Name)
			require.NotEmpty(t, c.Usage)
		}
		for _, sub := range c.Commands {
			walk(sub)
		}
	}
	walk(newRoot(nil, nil, nil))
	b := newBench(t)
	b.base = nil
	require.Contains(t, b.ok("completion", "bash"), Name)
	require.Contains(t, b.ok("keys", "--generate-shell-completion"), "withdraw")
}
