package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	peerPort    = 7000
	controlPort = 8345
	callerPort  = 8340
	readyPort   = 8343
	metricsPort = 9464
)

// schedulers and gateways are the numbers of processes, seeds that of the control addresses that
// each process is told.
const (
	schedulers = 5
	gateways   = 2
	seeds      = 3
)

// system is the programs under test with their stand-ins.
type system struct {
	programs   string
	folder     string
	record     *record
	schedulers []*process
	gateways   []*process
	platform   *platform
	workers    []*worker
}

// process is a scheduler or a gateway.
type process struct {
	s         *system
	program   string
	name      string
	ip        string
	bootstrap bool
	cmd       *exec.Cmd
	exited    chan struct{}
}

func newSystem(programs string, r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	absolute, err := filepath.Abs(programs)
	if err != nil {
		return nil, err
	}
	s := &system{programs: absolute, folder: folder, record: r}
	if s.platform, err = newPlatform(s); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(schedulers + gateways)
	if err != nil {
		return nil, err
	}
	for i, ip := range addresses {
		p := &process{s: s, ip: ip, bootstrap: true}
		if i < schedulers {
			p.program, p.name = "cactusspar-scheduler", fmt.Sprintf("core-%d", i+1)
			s.schedulers = append(s.schedulers, p)
		} else {
			p.program, p.name = "cactusspar-gateway", fmt.Sprintf("front-%d", i+1-schedulers)
			s.gateways = append(s.gateways, p)
		}
	}
	return s, nil
}

// freeAddresses returns loopback addresses on which all ports of the processes are free, in
// ascending order.
func freeAddresses(n int) ([]string, error) {
	const lowest, highest = 100, 250
	var out []string
	for i := lowest; i < highest && len(out) < n; i++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/200%200, 1+os.Getpid()%200, i)
		if allFree(ip, peerPort, controlPort, callerPort, readyPort, metricsPort) {
			out = append(out, ip)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("%d free loopback addresses, expected %d", len(out), n)
	}
	return out, nil
}

func allFree(ip string, ports ...int) bool {
	for _, port := range ports {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// startAll starts all processes.
func (s *system) startAll() error {
	for _, p := range append(append([]*process{}, s.schedulers...), s.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, p := range append(append([]*process{}, s.schedulers...), s.gateways...) {
		p.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.platform.close()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.folder)
	}
}

func (p *process) dataFolder() string { return filepath.Join(p.s.folder, p.name, "data") }

func (p *process) settings() string {
	var seedList []string
	for _, o := range p.s.schedulers[:seeds] {
		seedList = append(seedList, fmt.Sprintf("%s:%d", o.ip, controlPort))
	}
	lines := []string{
		"node=" + p.name, "ip=" + p.ip, "zone=z-a", "region=r", "zones.z-a=r",
		fmt.Sprintf("internal_ports=%d,%d", peerPort, peerPort+15),
		"seeds=" + strings.Join(seedList, ","), fmt.Sprintf("bootstrap=%v", p.bootstrap),
		"limits.cores=1", "limits.max_fds=4096", "heartbeat_ms=1500",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=6",
		"bounds.config_apply_ms=2000", "bounds.revoke_ms=5000", "bounds.recovery_s=12", "bounds.hold_max_ms=10000",
		"bounds.kill_grace_ms=200", "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.lease_ms=3000", "bounds.maintenance_s=2", "bounds.migrate_s=1.5",
		"config_mode=highest", "command_mode=call", "cloud.addr=" + p.s.platform.address, "cloud.rate_per_s=64", "cloud.duty_per_s=64",
	}
	if p.program == "cactusspar-scheduler" {
		lines = append(lines, "role=scheduler", "machine_class=core", "serves=control", "tolerated=true", "limits.memory_mb=280",
			fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "data_dir="+p.dataFolder())
	} else {
		lines = append(lines, "role=gateway", "machine_class=front", "serves=front", "tolerated=false", "limits.memory_mb=284",
			fmt.Sprintf("listen.front=%s:%d", p.ip, callerPort), fmt.Sprintf("listen.ready_addr=%s:%d", p.ip, readyPort))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process. All later starts have bootstrap=false.
func (p *process) start() error {
	folder := filepath.Join(p.s.folder, p.name)
	if err := os.MkdirAll(p.dataFolder(), 0o750); err != nil {
		return err
	}
	file := filepath.Join(folder, "node.conf")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.s.record.printf("start %s with bootstrap=%v", p.name, p.bootstrap)
	p.bootstrap = false
	cmd := exec.Command(filepath.Join(p.s.programs, p.program))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "CACTUSSPAR_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		p.s.record.printf("%s has ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// running reports whether the process runs.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sleepUntil waits until a time after the start of the case.
func (s *system) sleepUntil(after time.Duration) { time.Sleep(time.Until(s.record.began.Add(after))) }
