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

// fakeBackend is a single replica that applies commands immediately.
type fakeBackend struct {
	mu    sync.Mutex
	state *state.State
	// fail is the error that Propose returns after applying a command.
	fail error
}

func (b *fakeBackend) Propose(_ context.Context, c state.Command) (state.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Time = time.Now()
	result := b.state.Apply(b.state.Index+1, c)
	return result, b.fail
}

func (b *fakeBackend) Read(_ context.Context, f func(*state.State)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.state)
	return nil
}

func (b *fakeBackend) Status() operator.Status {
	return operator.Status{
		Name: "control-1", Role: "leader", Findings: []string{"disk 91% full"},
		Members: []operator.ReplicaStatus{{Name: "control-1", Addr: "127.0.0.1:7101", Voter: true, Match: 3}},
	}
}

func (b *fakeBackend) AddReplica(context.Context, string, string) error { return nil }

func (b *fakeBackend) RemoveReplica(context.Context, string) error { return nil }

// testEnv is a control replica together with an operator's files.
type testEnv struct {
	t        *testing.T
	dir      string
	backend  *fakeBackend
	server   *httptest.Server
	baseArgs []string
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, dir: t.TempDir(), backend: &fakeBackend{state: state.New()}}
	code, line, errText := env.run("token", "--file", env.path("asha.token"), "asha")
	require.Zero(t, code, errText)
	tokens, err := operator.ParseTokens("tokens", line)
	require.NoError(t, err)
	env.server = httptest.NewServer(operator.NewServer(env.backend, operator.Options{Tokens: tokens}))
	t.Cleanup(env.server.Close)
	env.baseArgs = []string{"--control", strings.TrimPrefix(env.server.URL, "http://"), "--token-file", env.path("asha.token"), "--timeout", "2s"}
	return env
}

func (env *testEnv) path(name string) string { return filepath.Join(env.dir, name) }

func (env *testEnv) write(name, text string) string {
	require.NoError(env.t, os.WriteFile(env.path(name), []byte(text), 0o600))
	return env.path(name)
}

func (env *testEnv) run(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	all := append(append([]string{Name}, env.baseArgs...), args...)
	code = Run(context.Background(), all, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (env *testEnv) ok(args ...string) string {
	env.t.Helper()
	code, out, errText := env.run(args...)
	require.Zero(env.t, code, "%v: %s", args, errText)
	return out
}

func (env *testEnv) fails(want int, args ...string) string {
	env.t.Helper()
	code, _, errText := env.run(args...)
	require.Equal(env.t, want, code, "%v: %s", args, errText)
	return errText
}

// setUpFleet applies the rules and registers instances.
func (env *testEnv) setUpFleet() {
	env.ok("apply", env.write("fleet.rules", fleetRules))
	var instances []state.Instance
	for _, id := range []string{"q-1", "q-2", "q-3"} {
		instances = append(instances, state.Instance{ID: id, Pool: "quotes", DataCentre: "dar-1", Rack: id})
	}
	result := env.backend.state.Apply(env.backend.state.Index+1, state.Command{UpsertInstances: &state.UpsertInstances{Instances: instances}})
	require.Nil(env.t, result.Err)
}

// TestApplyShowsDiffAndDetectsConflict guards against rules that are applied without
// showing the differences, altered in transit, or applied over a version that the
// operator did not expect.
func TestApplyShowsDiffAndDetectsConflict(t *testing.T) {
	env := newTestEnv(t)
	file := env.write("fleet.rules", fleetRules)
	out := env.ok("apply", "--dry-run", file)
	require.Contains(t, out, "+ pool quotes min=1 max=4 unavailable=1 slots=8 connections=64 # Asha M., operations: quotes must not wait")
	require.Contains(t, out, "Nothing was applied.")
	require.Zero(t, env.backend.state.Config.Version)
	require.Contains(t, env.ok("apply", file), "Version 1 is in force.")
	require.Equal(t, fleetRules, env.ok("rules", "show"))
	require.Contains(t, env.ok("apply", file), "with the same text")
	env.write("fleet.rules", strings.Replace(fleetRules, "limit=2", "limit=3", 1))
	require.Contains(t, env.fails(exitRejected, "apply", "--expected", "0", file), "applied by asha")
	var applied applyResult
	require.NoError(t, json.Unmarshal([]byte(env.ok("--output", "json", "apply", "--expected", "1", file)), &applied))
	require.EqualValues(t, 2, applied.Result.Version)
	require.Len(t, applied.Changes, 1)
	require.Equal(t, 3, len(strings.Split(strings.TrimSpace(env.ok("rules", "history")), "\n")))
	require.Contains(t, env.ok("rules", "diff", "1"), "limit=3")
	require.Contains(t, env.ok("explain", "team", "shops"), "in force since version 2, applied by asha")
	require.Contains(t, env.ok("explain", "pool quotes"), "asked for by Asha M., operations: quotes must not wait\n  in force since version 1")
}

// TestCheckReportsAllFindings guards against a check that stops at the first finding
// or file, and against applying rules without a pool by mistake.
func TestCheckReportsAllFindings(t *testing.T) {
	env := newTestEnv(t)
	bad := env.write("bad.rules", "pool a min=2 max=1 unavailable=1 # A: b\nteam x share=0 limit=1 # A: b\n")
	empty := env.write("empty.rules", "# nothing\n")
	code, out, errText := env.run("check", bad, empty)
	require.Equal(t, exitFindings, code)
	require.Empty(t, errText)
	require.Equal(t, bad+":1:12: min=2 is above max=1 (asked for by A)\n"+bad+":2:14: share=0: expected at least 1\n"+
		empty+":1:1: the file declares no pool\n", out)
	env.fails(exitFindings, "apply", empty)
	env.fails(exitFindings, "--output", "json", "check", bad)
	env.fails(exitFailed, "check", env.path("missing.rules"))
}

// TestExitCodes guards against exit codes from which a script cannot tell why a
// command failed.
func TestExitCodes(t *testing.T) {
	env := newTestEnv(t)
	env.setUpFleet()
	env.fails(exitUsage, "drain")
	env.fails(exitUsage, "unknown")
	env.fails(exitUsage, "keys", "unknown")
	env.fails(exitUsage, "move", "q-1", "portal", "extra")
	env.fails(exitUsage, "--output", "xml", "status")
	env.fails(exitNotFound, "instances", "q-9")
	env.fails(exitNotFound, "keys", "give", "nobody")
	env.ok("drain", "q-1")
	require.Contains(t, env.fails(exitRejected, "drain", "q-2"), "budget")
	env.ok("undrain", "q-1")
	env.fails(exitUnauthenticated, "--token-file", env.write("wrong.token", "x"), "teams")
	env.fails(exitUnauthenticated, "--token-file", env.path("wrong.token"), "status")
	env.backend.fail = operator.ErrUnknownOutcome
	env.fails(exitUnknownOutcome, "--timeout", "200ms", "drain", "q-3")
	env.baseArgs = []string{"--control", "127.0.0.1:1", "--timeout", "200ms"}
	env.fails(exitUnreachable, "teams")
	env.fails(exitUnreachable, "status")
}

// TestKeysAreShownOnce guards against a key file that other users can read, and
// against output that repeats the key.
func TestKeysAreShownOnce(t *testing.T) {
	env := newTestEnv(t)
	env.setUpFleet()
	out := env.ok("keys", "give", "--id", "k1", "--file", env.path("shops.key"), "shops")
	info, err := os.Stat(env.path("shops.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	secret, err := settings.File(env.path("shops.key")).ReadSecret()
	require.NoError(t, err)
	require.NotContains(t, out, secret)
	require.Equal(t, operator.HashSecret(secret), env.backend.state.Keys["k1"].Hash)
	require.NotContains(t, env.ok("--output", "json", "keys", "list"), secret)
	env.fails(exitFailed, "keys", "give", "--file", env.path("shops.key"), "shops")
	env.fails(exitRejected, "keys", "give", "--id", "k1", "--file", env.path("second.key"), "shops")
	require.NoFileExists(t, env.path("second.key"), "the file of a key that was not given is removed")
	env.ok("keys", "withdraw", "k1")
	require.True(t, env.backend.state.Keys["k1"].Withdrawn())
	shown := env.ok("--output", "json", "keys", "give", "shops")
	var given giveKeyResult
	require.NoError(t, json.Unmarshal([]byte(shown), &given))
	require.Equal(t, operator.HashSecret(given.Key), env.backend.state.Keys[given.ID].Hash)
}

// TestSettingsPrecedence guards against a flag that does not override the
// environment, and an environment variable that does not override the settings file.
func TestSettingsPrecedence(t *testing.T) {
	env := newTestEnv(t)
	good := env.baseArgs[1]
	env.baseArgs = nil
	file := env.write("client.json", `{"control": ["127.0.0.1:1"], "token_file": "asha.token", "timeout": "300ms"}`)
	env.fails(exitUnreachable, "--settings", file, "teams")
	t.Setenv("CACTUSSPAR_CONTROL", good)
	env.ok("--settings", file, "teams")
	env.fails(exitUnreachable, "--settings", file, "--control", "127.0.0.1:2", "teams")
	require.Contains(t, env.fails(exitFindings, "--settings", env.write("bad.json", `{"token": "secret"}`), "teams"), "unknown field")
}

// TestCertificatesIdentifyOperators guards against accepting an instance's certificate
// as an operator's, or a client without a certificate.
func TestCertificatesIdentifyOperators(t *testing.T) {
	env := newTestEnv(t)
	env.ok("certs", "--dir", env.path("certs"), "--instance", "control-1", "--operator", "asha")
	env.ok("certs", "--dir", env.path("certs"), "--operator", "juma")
	file := func(name string) settings.File { return settings.File(env.path("certs/" + name)) }
	config, err := (&settings.ServerTLS{
		Certificate: file("control-1.pem"), Key: file("control-1-key.pem"), ClientCA: []settings.File{file("ca.pem")}, ClientOptional: true,
	}).Config()
	require.NoError(t, err)
	require.EqualValues(t, tls.VersionTLS13, config.MinVersion)
	server := httptest.NewUnstartedServer(operator.NewServer(env.backend, operator.Options{Certificates: true}))
	server.TLS = config
	server.StartTLS()
	t.Cleanup(server.Close)
	env.baseArgs = []string{"--control", strings.TrimPrefix(server.URL, "https://"), "--ca", string(file("ca.pem")), "--timeout", "1s"}
	withCertificate := func(name string) []string {
		return []string{"--cert", string(file(name + ".pem")), "--key", string(file(name + "-key.pem")), "apply", env.write("f", fleetRules)}
	}
	env.ok(withCertificate("juma")...)
	require.Equal(t, "juma", env.backend.state.Config.Author)
	env.fails(exitUnauthenticated, withCertificate("control-1")...)
	env.fails(exitUnauthenticated, "teams")
	env.ok("certs", "--dir", env.path("other"), "--instance", "x")
	env.fails(exitFailed, "--ca", env.path("other/ca.pem"), "teams")
	require.NoError(t, os.Chmod(string(file("juma-key.pem")), 0o644))
	require.Contains(t, env.fails(exitFailed, withCertificate("juma")...), "accessible to other users")
}

// TestCommandsInTextAndJSON guards against a command whose text or JSON output is
// wrong or fails.
func TestCommandsInTextAndJSON(t *testing.T) {
	env := newTestEnv(t)
	env.setUpFleet()
	env.ok("keys", "give", "--id", "k1", "shops")
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
		require.Contains(t, env.ok(strings.Fields(c.args)...), c.want, c.args)
		out := env.ok(append([]string{"--output", "json"}, strings.Fields(c.args)...)...)
		d := json.NewDecoder(strings.NewReader(out))
		for d.More() {
			var value any
			require.NoError(t, d.Decode(&value), c.args)
		}
	}
}

// TestWaveAndJobCommands guards against a wave or job command that loses a field
// before it reaches the control state.
func TestWaveAndJobCommands(t *testing.T) {
	env := newTestEnv(t)
	env.setUpFleet()
	env.ok("waves", "start", "--id", "w1", "--instance", "q-2", "quotes")
	env.fails(exitRejected, "waves", "start", "quotes")
	env.ok("waves", "pause", "--reason", "judging day", "w1")
	require.Contains(t, env.ok("waves", "list", "--status", "paused"), "judging day")
	env.ok("waves", "resume", "w1")
	env.ok("waves", "stop", "w1")
	require.Equal(t, []string{"q-2"}, env.backend.state.Waves["w1"].Todo)
	require.Contains(t, env.ok("waves", "show", "w1"), "stopped")
	env.ok("jobs", "submit", "--id", "j1", "--team", "shops", "--pool", "quotes", "--kind", "urgent", "--priority", "2",
		"--cpu", "1500", "--memory-mb", "512", "--accelerators", "1", "--run", "90s")
	j := env.backend.state.Jobs["j1"]
	require.Equal(t, state.Resources{MilliCPU: 1500, MemoryMB: 512, Accelerators: 1}, j.Declared)
	require.Equal(t, 90*time.Second, j.DeclaredRun)
	require.Equal(t, []any{state.Urgent, 2, "shops", "quotes"}, []any{j.Kind, j.Priority, j.Team, j.Pool})
	file := env.write("jobs.json", `{"jobs": [{"id": "j2", "team": "shops", "pool": "quotes", "kind": "batch", "declared": {"milli_cpu": 1, "memory_mb": 1}}, // two
		{"id": "j3", "team": "shops", "pool": "quotes", "kind": "batch", "declared": {"milli_cpu": 1, "memory_mb": 1}}]}`)
	require.Contains(t, env.ok("jobs", "submit", "--file", file), "Submitted 2 jobs.")
	env.ok("jobs", "cancel", "j2", "j3")
	require.Equal(t, 3, strings.Count(env.ok("jobs", "list", "--status", "cancelled"), "\n"))
	require.Contains(t, env.ok("jobs", "show", "j1"), "1m30s")
}

// TestWatchPrintsChanges guards against a change that watch omits or repeats.
func TestWatchPrintsChanges(t *testing.T) {
	env := newTestEnv(t)
	env.setUpFleet()
	time.AfterFunc(100*time.Millisecond, func() { env.ok("drain", "q-2") })
	out := env.ok("watch", "--interval", "300ms", "--count", "3")
	require.Equal(t, 1, strings.Count(out, "instance q-2: active"))
	require.Equal(t, 1, strings.Count(out, "instance q-2: draining"))
}

// TestHelpHasExamples guards against a command without an example in its help, and
// against missing shell completion.
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
	env := newTestEnv(t)
	env.baseArgs = nil
	require.Contains(t, env.ok("completion", "bash"), Name)
	require.Contains(t, env.ok("keys", "--generate-shell-completion"), "withdraw")
}
