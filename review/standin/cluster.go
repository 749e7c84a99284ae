package main

import (
	"fmt"
	"math/rand"
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
	frontPort   = 8340
	readyPort   = 8343
	controlPort = 8345
	peerPort    = 7000
	workerPort  = 8786
	cloudPort   = 8344
	metricsPort = 9464
)

// Sizes and bounds of the deployment. They are those of samaki-orders, with fewer machines.
const (
	schedulers  = 5 // unless a case says otherwise
	maxSpares   = 1
	gateways    = 2
	beatMS      = 1500
	holdMaxMS   = 10000
	killGrace   = 200 * time.Millisecond
	graceTime   = 6 * time.Second
	finishTime  = 14 * time.Second
	callTimeout = time.Second // after which callers of control try the next node
)

// subnet is the first three bytes of the addresses of a deployment.
type subnet string

func (s subnet) address(host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", s, host), fmt.Sprint(port))
}

// Hosts of the subnet.
const (
	firstScheduler = 1
	firstGateway   = 21
	cloudHost      = 41
	hintHost       = 42
	firstLink      = 51
	firstWorker    = 101
)

// freeSubnet returns a subnet of loopback addresses on which nothing listens.
func freeSubnet() (subnet, error) {
	const tries = 50
	for range tries {
		s := subnet(fmt.Sprintf("127.%d.%d", 32+rand.Intn(190), 1+rand.Intn(250)))
		if s.free() {
			return s, nil
		}
	}
	return "", fmt.Errorf("no free addresses after %d tries", tries)
}

func (s subnet) free() bool {
	for host := firstScheduler; host < firstScheduler+schedulers+maxSpares; host++ {
		for _, port := range []int{controlPort, peerPort, metricsPort} {
			if !canListen(s.address(host, port)) {
				return false
			}
		}
	}
	return canListen(s.address(cloudHost, cloudPort)) && canListen(s.address(hintHost, cloudPort)) && canListen(s.address(firstGateway, frontPort)) && canListen(s.address(firstWorker, workerPort))
}

func canListen(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// process is a process of the project.
type process struct {
	name, program string
	ip            string
	settings      string
	folder        string
	cmd           *exec.Cmd
	done          chan struct{}
}

// cluster is a deployment of the project's programs.
type cluster struct {
	net        subnet
	folder     string
	rec        *record
	schedulers []*process
	gateways   []*process
}

// newCluster returns a deployment with a number of spare schedulers, which get no vote at first.
func newCluster(rec *record, spares int) (*cluster, error) {
	s, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{net: s, folder: folder, rec: rec}
	for i := range schedulers + spares {
		c.schedulers = append(c.schedulers, c.process("core", "scheduler", "cactusspar-scheduler", i, firstScheduler))
	}
	for i := range gateways {
		c.gateways = append(c.gateways, c.process("front", "gateway", "cactusspar-gateway", i, firstGateway))
	}
	return c, nil
}

// controlAddresses returns the addresses at which control is served.
func (c *cluster) controlAddresses() []string {
	var out []string
	for i := range max(len(c.schedulers), schedulers) {
		out = append(out, c.net.address(firstScheduler+i, controlPort))
	}
	return out
}

// frontAddresses returns the addresses at which callers are served.
func (c *cluster) frontAddresses() []string {
	var out []string
	for i := range gateways {
		out = append(out, c.net.address(firstGateway+i, frontPort))
	}
	return out
}

var zones = []string{"dar-a", "dar-b", "dar-c", "dar-d"}

func (c *cluster) process(class, role, program string, index, firstHost int) *process {
	zone := zones[index%len(zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, index+1)
	folder := filepath.Join(c.folder, name)
	ip := fmt.Sprintf("%s.%d", c.net, firstHost+index)
	lines := []string{
		"node=" + name, "role=" + role, "machine_class=" + class, "ip=" + ip, "zone=" + zone, "region=dar",
		fmt.Sprintf("internal_ports=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(c.controlAddresses()[:3], ","),
		"bootstrap=true", "limits.cores=1", "limits.memory_mb=280", "discovery=registry", "entry=vip", fmt.Sprintf("heartbeat_ms=%d", beatMS),
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=6",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.strict_revoke=true",
		"bounds.revoke_ms=5000", "bounds.quota_over=0.1", "bounds.recovery_s=12", fmt.Sprintf("bounds.hold_max_ms=%d", holdMaxMS),
		fmt.Sprintf("bounds.kill_grace_ms=%d", killGrace.Milliseconds()), "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_x=3", "bounds.checkpoint_s=2", "bounds.restore_ms=250",
		"bounds.notice_ms=4500", "bounds.migrate_s=1.5", "bounds.maintenance_s=2", "bounds.enforce_fencing=false", "bounds.lease_ms=3000",
		"bounds.thaw_ms=300", "bounds.pace_ms=100", "bounds.harm_ms=4000", "config_mode=highest", "command_mode=call",
		"hint=" + c.net.address(hintHost, cloudPort), "cloud.addr=" + c.net.address(cloudHost, cloudPort), "cloud.rate_per_s=64.0", "cloud.duties=", "cloud.duty_per_s=64.0",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=dar")
	}
	if class == "core" {
		lines = append(lines, "serves=control", "tolerated=true", "limits.disk_mb=128", "listen.control="+net.JoinHostPort(ip, fmt.Sprint(controlPort)), "data_dir="+filepath.Join(folder, "data"))
	} else {
		lines = append(lines, "serves=front", "tolerated=false", "limits.disk_mb=0", "listen.front="+net.JoinHostPort(ip, fmt.Sprint(frontPort)), "listen.ready_addr="+net.JoinHostPort(ip, fmt.Sprint(readyPort)))
	}
	return &process{name: name, program: filepath.Join("target", program), ip: ip, folder: folder, settings: strings.Join(lines, "\n") + "\n"}
}

// start starts all processes. It is called in the root of the repository.
func (c *cluster) start() error {
	for _, p := range append(append([]*process{}, c.schedulers...), c.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
		c.rec.add("started %s at %s", p.name, p.ip)
	}
	return nil
}

func (p *process) start() error {
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(p.folder, "node.conf")
	if err := os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a copy
	p.cmd = exec.Command(p.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CACTUSSPAR_BOOT=" + file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a stand-in that is killed
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// kill ends a process at once, as a loss of power does.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// wipe waits for the end of a process and removes what is on its disk.
func (p *process) wipe() error {
	<-p.done
	return os.RemoveAll(filepath.Join(p.folder, "data"))
}

// again starts a process that has run before.
func (p *process) again() error {
	p.settings = strings.Replace(p.settings, "bootstrap=true", "bootstrap=false", 1)
	return p.start()
}

// logged reports whether the output of the process has a text.
func (p *process) logged(text string) bool {
	data, err := os.ReadFile(filepath.Join(p.folder, "log"))
	return err == nil && strings.Contains(string(data), text)
}

// close kills all processes, and removes their folders unless KEEP is set.
func (c *cluster) close() {
	for _, p := range append(append([]*process{}, c.schedulers...), c.gateways...) {
		if p.cmd != nil && p.cmd.Process != nil && p.done != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}
