package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/testutil"
)

// binaries is the folder of the commands that the tests run.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the commands, runs the tests and returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cactusspar-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "cactusspar/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	return m.Run()
}

const token = "operator-token-of-the-tests-000000"

// process is a process of the system, which can be started several times.
type process struct {
	t          testing.TB
	name       string
	args       []string
	logPath    string
	cmd        *exec.Cmd
	stopped    bool
	restarting atomic.Bool // restartLater is restarting the process
}

// start starts the process for the first time or again.
func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(p.t, err)
	defer func() { _ = f.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	require.NoError(p.t, p.cmd.Start())
	p.stopped = false
}

// kill kills the process with SIGKILL.
func (p *process) kill() { p.terminate(syscall.SIGKILL) }

// stop stops the process with SIGTERM and fails the test unless it exits cleanly.
func (p *process) stop() {
	p.t.Helper()
	if err := p.terminate(syscall.SIGTERM); err != nil {
		p.t.Errorf("%s did not stop cleanly: %v\n%s", p.name, err, p.tail())
	}
}

// terminate sends the signal and waits until the process has exited. SIGCONT comes
// first because a suspended process does not handle SIGTERM.
func (p *process) terminate(s syscall.Signal) error {
	if p.stopped {
		return nil
	}
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(s)
	return p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// tail returns the last lines of the process's log.
func (p *process) tail() string {
	data, _ := os.ReadFile(p.logPath)
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

// control is the process of a control replica with its addresses and data folder.
type control struct {
	*process
	peer, operator, health, folder string
}

// entry is the process of an entry instance with its addresses.
type entry struct {
	*process
	callers, endpoints, health string
}

// cluster is a running system under test.
type cluster struct {
	t                 testing.TB
	dir               string
	controls          []*control
	entries           []*entry
	endpointProcesses []*process
	client            *operator.Client
	keys              map[string]string // path of the key file of each team
	secrets           map[string]string // key of each team
	runLogs           string            // path prefix of the run logs
	platform          string            // address of the stand-in platform
	certs             string            // folder of the certificates; empty without TLS
}

// object is a JSON object of a settings file.
type object map[string]any

// write writes v as JSON to a file and returns its path.
func (c *cluster) write(name string, v any) string {
	c.t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// newProcess returns a process that is not started yet. It is killed at the end of
// the test, and its log is shown if the test has failed or E2E_LOGS is set.
func (c *cluster) newProcess(name string, args ...string) *process {
	p := &process{t: c.t, name: name, args: args, logPath: filepath.Join(c.dir, name+".log")}
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() || os.Getenv("E2E_LOGS") != "" {
			c.t.Logf("log of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// newCluster starts control replicas and entry instances without TLS. The entry
// instances are spread over four data centres.
func newCluster(t testing.TB, controls, entries int) *cluster {
	t.Helper()
	return startCluster(t, controls, entries, false)
}

// startCluster starts control replicas and entry instances. With tls, connections
// between processes of the system and from operators use mutual TLS.
func startCluster(t testing.TB, controls, entries int, tls bool) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), keys: map[string]string{}, secrets: map[string]string{}}
	if tls {
		c.makeCertificates(controls, entries)
	}
	c.runLogs = filepath.Join(c.dir, "runs-")
	c.platform = testutil.FreeAddr(t)
	require.NoError(t, os.WriteFile(filepath.Join(c.dir, "tokens"), []byte(operator.TokenLine("tester", token)+"\n"), 0o600))
	c.startControls(controls)
	for i := range entries {
		c.addEntry(i)
	}
	var addresses []string
	for _, r := range c.controls {
		addresses = append(addresses, r.operator)
	}
	var err error
	c.client, err = operator.NewClient(operator.ClientOptions{
		Addresses: addresses, Token: token, Timeout: 20 * time.Second, TLS: c.operatorTLS("asha"),
	})
	require.NoError(t, err)
	return c
}

func (c *cluster) startControls(n int) {
	var members []object
	for i := range n {
		r := &control{peer: testutil.FreeAddr(c.t), operator: testutil.FreeAddr(c.t), health: testutil.FreeAddr(c.t)}
		r.folder = filepath.Join(c.dir, fmt.Sprint("data-", i))
		c.controls = append(c.controls, r)
		members = append(members, object{"name": fmt.Sprint("control-", i), "peer": r.peer, "operator": r.operator})
	}
	for i, r := range c.controls {
		name := fmt.Sprint("control-", i)
		path := c.write(name+".json", object{
			"cluster": "e2e", "name": name, "data_folder": r.folder, "peer": c.listener(name, r.peer), "peer_tls": c.clientTLS(name),
			"operator": c.listener(name, r.operator), "health": object{"address": r.health},
			"operator_tokens": filepath.Join(c.dir, "tokens"), "members": members,
			"platform": "http://" + c.platform, "return_limit": "5s",
		})
		r.process = c.newProcess(name, "cactusspar-control", "--settings", path)
		r.start()
	}
}

func (c *cluster) addEntry(i int) {
	name := fmt.Sprint("entry-", i)
	c.entries = append(c.entries, c.addEntryAs(name, name, i))
}

// addEntryAs starts an entry instance that uses the certificate issued for another
// name.
func (c *cluster) addEntryAs(name, certificate string, i int) *entry {
	e := &entry{callers: testutil.FreeAddr(c.t), endpoints: testutil.FreeAddr(c.t), health: testutil.FreeAddr(c.t)}
	var peers []string
	for _, r := range c.controls {
		peers = append(peers, r.peer)
	}
	path := c.write(name+".json", object{
		"id": name, "cluster": "e2e", "data_centre": fmt.Sprint("dc-", 1+i%4), "region": "coast", "control": peers,
		"peer": c.listener(certificate, testutil.FreeAddr(c.t)), "peer_client": c.clientTLS(certificate), "callers": c.listener(certificate, e.callers),
		"endpoints": object{"address": e.endpoints}, "health": object{"address": e.health},
	})
	e.process = c.newProcess(name, "cactusspar-entry", "--settings", path)
	e.start()
	return e
}

// apply replaces the rules in force.
func (c *cluster) apply(text string) {
	c.t.Helper()
	config, err := c.client.Rules(context.Background())
	if err != nil {
		c.eventually(20*time.Second, "control replicas answer", func() bool {
			config, err = c.client.Rules(context.Background())
			return err == nil
		})
	}
	_, err = c.client.Apply(context.Background(), config.Version, text)
	require.NoError(c.t, err)
}

// issueKey issues a key to the team and writes it to a file.
func (c *cluster) issueKey(team string) {
	c.t.Helper()
	secret := operator.NewSecret()
	_, err := c.client.GiveKey(context.Background(), team+"-1", team, secret)
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, "key-"+team)
	require.NoError(c.t, os.WriteFile(path, []byte(secret), 0o600))
	c.keys[team], c.secrets[team] = path, secret
}

// startEndpoints starts a process with endpoints of a pool. Further arguments are
// passed to the process.
func (c *cluster) startEndpoints(pool string, count int, args ...string) *process {
	c.t.Helper()
	command := []string{"cactusspar-standin", "endpoints", "--pool", fmt.Sprint(pool, ":", count), "--run-log", c.runLogs + pool}
	for i := range 4 {
		command = append(command, "--data-centre", fmt.Sprint("dc-", i+1))
	}
	for _, e := range c.entries {
		command = append(command, "--entry", "http://"+e.endpoints)
	}
	p := c.newProcess(fmt.Sprint("endpoints-", pool, "-", len(c.endpointProcesses)), append(command, args...)...)
	p.start()
	c.endpointProcesses = append(c.endpointProcesses, p)
	return p
}

// eventually polls f until it returns true, and fails the test if that takes longer
// than timeout.
func (c *cluster) eventually(timeout time.Duration, condition string, f func() bool) {
	c.t.Helper()
	end := time.Now().Add(timeout)
	for !f() {
		require.True(c.t, time.Now().Before(end), "condition not met within %v: %s", timeout, condition)
		time.Sleep(20 * time.Millisecond)
	}
}

// ready reports whether a process with the given health address is ready.
func ready(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until every entry instance is ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		c.eventually(20*time.Second, e.name+" is ready", func() bool { return ready(e.health) })
	}
}

// response is the part of an HTTP response that the tests compare.
type response struct {
	status     int
	outcome    string
	code       string
	body       string
	retryAfter string
}

// send sends a request to the entry instance with the team's key, or without a key
// if team is empty. The header arguments are pairs of name and value.
func (c *cluster) send(e *entry, method, path, team string, header ...string) (response, error) {
	scheme, client := "http://", http.DefaultClient
	if c.certs != "" {
		scheme, client = "https://", &http.Client{Transport: &http.Transport{TLSClientConfig: c.operatorTLS("asha"), DisableKeepAlives: true}}
	}
	req, err := http.NewRequest(method, scheme+e.callers+path, nil)
	require.NoError(c.t, err)
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+c.secrets[team])
	}
	req.Header.Set("Standin-Nonce", "n.")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return response{}, err
	}
	out := response{
		status: resp.StatusCode, outcome: resp.Header.Get("Cactusspar-Outcome"), body: body.String(), retryAfter: resp.Header.Get("Retry-After"),
	}
	var problem struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body.Bytes(), &problem) == nil {
		out.code = problem.Code
	}
	return out, nil
}

// waitAnswered waits until every entry instance answers the team's requests to the
// queue.
func (c *cluster) waitAnswered(queue, team string) {
	c.t.Helper()
	for _, e := range c.entries {
		var last response
		var err error
		c.eventually(20*time.Second, "queue "+queue+" is served by "+e.name, func() bool {
			last, err = c.send(e, http.MethodGet, "/q/"+queue+"/x?size=2", team)
			if err != nil || last.outcome != "answered" {
				time.Sleep(100 * time.Millisecond)
				return false
			}
			return true
		})
	}
}
