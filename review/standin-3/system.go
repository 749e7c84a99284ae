package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of the processes. Each process has loopback addresses of its own.
const (
	peerPort    = 7000
	controlPort = 8345
	callerPort  = 8340
	readyPort   = 8343
	metricsPort = 9464
)

// Bounds of the deployment, as in the small deployments of the users' pages.
const (
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	lingerTime  = 4000 * time.Millisecond
	holdMax     = 10000 * time.Millisecond
	killGrace   = 200 * time.Millisecond
	visibleTime = 3000 * time.Millisecond
	finishTime  = 14 * time.Second
)

// fleetShape is the size of a small deployment.
type fleetShape struct {
	schedulers, gateways int
	workers              []workerShape
}

// workerShape is a kind of worker.
type workerShape struct {
	count  int
	cpu    int64
	memory int64
	labels []string
	// spare workers are in the spare pool, whose machines are off.
	spare bool
}

// system is a deployment with its stand-ins.
type system struct {
	shape    fleetShape
	target   string
	folder   string
	trouble  bool
	began    time.Time
	network  string // the first three numbers of the loopback addresses
	lastIP   int
	mu       sync.Mutex
	recorder *os.File
	nodes    []*node
	platform *platform
	fleet    *fleet
	random   *rand.Rand
	version  int
	current  *configuration
	client   *http.Client
}

func newSystem(shape fleetShape, target, record string, trouble bool) (*system, error) {
	folder, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	recorder, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	absolute, err := filepath.Abs(target)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &system{
		shape: shape, target: absolute, folder: folder, trouble: trouble, began: time.Now(), recorder: recorder,
		network: fmt.Sprintf("127.%d.%d.", 20+pid/200%200, 1+pid%200), random: rand.New(rand.NewSource(int64(pid))),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	s.fleet = &fleet{s: s}
	s.note("script", "trouble=%v", trouble)
	return s, nil
}

// note adds a line to the record.
func (s *system) note(what, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.recorder, "%8.3f %-9s %s\n", time.Since(s.began).Seconds(), what, fmt.Sprintf(format, args...))
}

// address returns a loopback address on which the given ports are free.
func (s *system) address(ports ...int) string {
	for s.lastIP < 250 {
		s.lastIP++
		ip := fmt.Sprintf("%s%d", s.network, s.lastIP)
		free := true
		for _, port := range ports {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip
		}
	}
	panic(cannotRun("no free loopback address"))
}

// node is a process of the system.
type node struct {
	s       *system
	name    string
	program string
	ip      string
	cmd     *exec.Cmd
	exited  chan struct{}
	first   bool
}

func (n *node) serves(program string) bool { return n.program == program }

// start starts the processes and the stand-ins, and sends the first configuration.
func (s *system) start(c scenario) {
	for i := range s.shape.schedulers {
		s.nodes = append(s.nodes, &node{s: s, name: fmt.Sprintf("core-%d", i+1), program: "cactusspar-scheduler", ip: s.address(peerPort, controlPort, metricsPort), first: true})
	}
	for i := range s.shape.gateways {
		s.nodes = append(s.nodes, &node{s: s, name: fmt.Sprintf("front-%d", i+1), program: "cactusspar-gateway", ip: s.address(callerPort, readyPort, metricsPort), first: true})
	}
	s.platform = newPlatform(s)
	s.fleet.create()
	for _, n := range s.nodes {
		n.launch()
	}
	s.current = newConfiguration()
	c.config(s.current)
	s.configure()
	s.fleet.begin()
	s.awaitReady()
	s.note("script", "traffic may begin")
}

// awaitReady waits until all gateways are ready and all workers are registered.
func (s *system) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.gateways() {
		for {
			s.require(time.Now().Before(deadline), "gateway %s isn't ready", n.name)
			status, _ := s.send(http.MethodGet, fmt.Sprintf("http://%s:%d/-/readiness", n.ip, readyPort), "", "", nil)
			if status == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for !s.fleet.allAcknowledged() {
		s.require(time.Now().Before(deadline), "not all workers are registered")
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
}

func (s *system) gateways() []*node { return s.running("cactusspar-gateway") }

func (s *system) schedulers() []*node { return s.running("cactusspar-scheduler") }

func (s *system) running(program string) []*node {
	var out []*node
	for _, n := range s.nodes {
		if n.serves(program) {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) settings() string {
	var seeds []string
	for i, other := range n.s.schedulers() {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
		}
	}
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	line("node", n.name)
	line("ip", n.ip)
	line("zone", "z0")
	line("region", "r0")
	line("zones.z0", "r0")
	line("internal_ports", fmt.Sprintf("%d,%d", peerPort, peerPort+15))
	line("seeds", strings.Join(seeds, ","))
	line("bootstrap", n.first)
	line("limits.cores", 1)
	line("limits.memory_mb", 284)
	line("limits.max_fds", 4100)
	line("discovery", "registry")
	line("heartbeat_ms", heartbeat.Milliseconds())
	line("fault_tolerance.machines", 2)
	line("command_mode", "call")
	line("config_mode", "highest")
	line("cloud.addr", n.s.platform.address)
	line("cloud.rate_per_s", 64)
	line("cloud.duty_per_s", 64)
	for name, value := range map[string]any{
		"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": drainTime.Milliseconds(), "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
		"rollback_slack_ms": 250, "strict_revoke": true, "revoke_ms": 5000, "quota_over": 0.1, "recovery_s": 12, "hold_max_ms": holdMax.Milliseconds(),
		"kill_grace_ms": killGrace.Milliseconds(), "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": visibleTime.Milliseconds(), "early_ms": 250,
		"finish_s": finishTime.Seconds(), "status_s": 120, "lease_ms": 3000, "notice_ms": 4500, "enforce_fencing": false,
	} {
		line("bounds."+name, value)
	}
	if n.program == "cactusspar-scheduler" {
		line("listen.control", fmt.Sprintf("%s:%d", n.ip, controlPort))
		line("data_dir", filepath.Join(n.s.folder, n.name, "data"))
	} else {
		line("listen.front", fmt.Sprintf("%s:%d", n.ip, callerPort))
		line("listen.ready_addr", fmt.Sprintf("%s:%d", n.ip, readyPort))
	}
	return b.String()
}

// launch starts the process with the command of the deploy file.
func (n *node) launch() {
	folder := filepath.Join(n.s.folder, n.name)
	file := filepath.Join(folder, "node.conf")
	err := os.MkdirAll(folder, 0o755)
	if err == nil {
		err = os.WriteFile(file, []byte(n.settings()), 0o600)
	}
	n.s.require(err == nil, "settings of %s: %v", n.name, err)
	n.first = false
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.s.require(err == nil, "log of %s: %v", n.name, err)
	n.cmd = exec.Command(filepath.Join(n.s.target, n.program))
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "CACTUSSPAR_BOOT=" + file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	err = n.cmd.Start()
	n.s.require(err == nil, "start of %s: %v", n.name, err)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(n.cmd, n.exited)
}

// close ends everything that was started.
func (s *system) close() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	_ = os.RemoveAll(s.folder)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.recorder.Close()
}
