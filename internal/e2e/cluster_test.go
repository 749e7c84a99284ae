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

var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

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

// process is a started process of the system.
type process struct {
	t       testing.TB
	name    string
	args    []string
	log     string
	cmd     *exec.Cmd
	stopped bool
	busy    atomic.Bool // it is being ended and started again
}

// start starts the process, or starts it again.
func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(p.t, err)
	defer func() { _ = f.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	require.NoError(p.t, p.cmd.Start())
	p.stopped = false
}

// kill ends the process without notice.
func (p *process) kill() { p.end(syscall.SIGKILL) }

// stop ends the process as planned and requires that it ends cleanly.
func (p *process) stop() {
	p.t.Helper()
	if err := p.end(syscall.SIGTERM); err != nil {
		p.t.Errorf("%s did not stop cleanly: %v\n%s", p.name, err, p.tail())
	}
}

func (p *process) end(s syscall.Signal) error {
	if p.stopped {
		return nil
	}
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(s)
	return p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// tail returns the end of the process's log.
func (p *process) tail() string {
	data, _ := os.ReadFile(p.log)
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

// control is a control replica's process and addresses.
type control struct {
	*process
	peer, operator, health, folder string
}

// entry is an entry instance's process and addresses.
type entry struct {
	*process
	callers, endpoints, health string
}

type cluster struct {
	t        testing.TB
	dir      string
	controls []*control
	entries  []*entry
	others   []*process
	client   *operator.Client
	keys     map[string]string // file of each team's key
	secrets  map[string]string
	runLogs  string
	platform string // address for the platform
	certs    string // folder of the certificates; empty for plain text
}

type object map[string]any

func (c *cluster) write(name string, v any) string {
	c.t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

func (c *cluster) newProcess(name string, args ...string) *process {
	p := &process{t: c.t, name: name, args: args, log: filepath.Join(c.dir, name+".log")}
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() || os.Getenv("E2E_LOGS") != "" {
			c.t.Logf("log of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// newCluster starts control replicas and entry instances, one data centre each
// in turn, and waits until all are ready.
func newCluster(t testing.TB, controls, entries int) *cluster {
	t.Helper()
	return startCluster(t, controls, entries, false)
}

// startCluster is newCluster with mutual TLS between own processes and towards
// operators if asked for.
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

// addEntryAs starts an entry instance with the certificate of another name.
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

// apply applies the rules in place of those in force.
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

// giveKey gives the team a key and keeps it in a file.
func (c *cluster) giveKey(team string) {
	c.t.Helper()
	secret := operator.NewSecret()
	_, err := c.client.GiveKey(context.Background(), team+"-1", team, secret)
	require.NoError(c.t, err)
	path := filepath.Join(c.dir, "key-"+team)
	require.NoError(c.t, os.WriteFile(path, []byte(secret), 0o600))
	c.keys[team], c.secrets[team] = path, secret
}

// startEndpoints starts a process with the endpoints of a pool.
func (c *cluster) startEndpoints(pool string, count int, args ...string) *process {
	c.t.Helper()
	all := []string{"cactusspar-standin", "endpoints", "--pool", fmt.Sprint(pool, ":", count), "--run-log", c.runLogs + pool}
	for i := range 4 {
		all = append(all, "--data-centre", fmt.Sprint("dc-", i+1))
	}
	for _, e := range c.entries {
		all = append(all, "--entry", "http://"+e.endpoints)
	}
	p := c.newProcess(fmt.Sprint("endpoints-", pool, "-", len(c.others)), append(all, args...)...)
	p.start()
	c.others = append(c.others, p)
	return p
}

func (c *cluster) eventually(limit time.Duration, what string, f func() bool) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for !f() {
		require.True(c.t, time.Now().Before(end), "not within %v: %s", limit, what)
		time.Sleep(20 * time.Millisecond)
	}
}

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

// response is what a caller got.
type response struct {
	status  int
	outcome string
	code    string
	body    string
	retry   string
}

// send sends a request with a team's key, or without one if team is empty.
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
		status: resp.StatusCode, outcome: resp.Header.Get("Cactusspar-Outcome"), body: body.String(), retry: resp.Header.Get("Retry-After"),
	}
	var problem struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(body.Bytes(), &problem) == nil {
		out.code = problem.Code
	}
	return out, nil
}

// waitServed waits until a team's requests to a queue are answered through
// every entry instance.
func (c *cluster) waitServed(queue, team string) {
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
