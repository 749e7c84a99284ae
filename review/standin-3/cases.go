package main

import (
	"fmt"
	"time"
)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"quota":   quotaCase,
	"drain":   drainCase,
	"pending": pendingCase,
	"retired": retiredCase,
}

func smallFleet(workers ...workerShape) fleetShape {
	return fleetShape{schedulers: 5, gateways: 3, workers: workers}
}

const (
	longPath  = 2.2
	shortPath = 1.6
)

// await waits until a condition holds.
func (s *system) await(limit time.Duration, what string, holds func() bool) {
	deadline := time.Now().Add(limit)
	for !holds() {
		s.require(time.Now().Before(deadline), "%s", what)
		time.Sleep(10 * time.Millisecond)
	}
}

// quotaCase: the operator lowers the cap of a tenant far below what it sends. A job of another
// tenant, which has room, gets none.
var quotaCase = scenario{
	fleet: smallFleet(workerShape{count: 8, cpu: 16000, memory: 65536, labels: []string{"a"}}),
	config: func(c *configuration) {
		c.route("wide", longPath, 2500)
		c.route("short", shortPath, 600)
		c.tenant("wide", capacity{CPU: 128000})
		c.tenant("short", capacity{CPU: 128000})
	},
	play: func(s *system) []string {
		if s.trouble {
			s.current.Tenants[0].Cap = capacity{CPU: 4000}
			s.configure()
			time.Sleep(2500 * time.Millisecond)
		}
		// Tasks that take as long as estimated, as most do.
		usual := s.submit("short", "short", step{Count: 30, CPU: 500, Memory: 256, Estimate: 1000, takes: time.Second})
		s.await(10*time.Second, "the usual job isn't completed", func() bool {
			time.Sleep(100 * time.Millisecond)
			return s.state(usual) == "completed"
		})
		// Tasks that take about three times as long as estimated.
		first := s.submit("short", "short",
			step{Count: 1, CPU: 500, Memory: 256, Estimate: 1300, takes: 4 * time.Second},
			step{Count: 4, CPU: 8000, Memory: 4096, Estimate: 6000, After: []int{0}, takes: 18 * time.Second})
		second := s.submit("short", "short",
			step{Count: 1, CPU: 500, Memory: 256, Estimate: 3000, takes: 9 * time.Second},
			step{Count: 1, CPU: 8000, Memory: 4096, Estimate: 1000, After: []int{0}, takes: 2 * time.Second})
		s.submit("wide", "wide", step{Count: 48, CPU: 2000, Memory: 512, Estimate: 20000, takes: 20 * time.Second})
		trafficEnd := time.Now()
		var breaks []string
		var waitingSince time.Time
		for time.Since(trafficEnd) < finishTime+16*time.Second {
			time.Sleep(20 * time.Millisecond)
			idle, used, free := s.fleet.waits(second)
			if time.Since(trafficEnd) < finishTime || !idle || used >= 64000 || free < 2 {
				waitingSince = time.Time{}
				continue
			}
			if waitingSince.IsZero() {
				waitingSince = time.Now()
			}
			if waited := time.Since(waitingSince); waited > 3*time.Second && len(breaks) == 0 {
				state := s.state(second)
				breaks = append(breaks, fmt.Sprintf("job %s (%s): for %.1f s, later than finish_s after the end of the traffic, nothing of it has run, though the turn of a task of 8 cores has come, there is room for %d such tasks, its tenant runs under half of its cap, and %.1f of 128 cores are in use",
					second.id, state, waited.Seconds(), free, float64(used)/1000))
			}
		}
		s.note("client", "first job %s, second job %s", s.state(first), s.state(second))
		return breaks
	},
}

// waits reports whether the second step of a job could run and doesn't, the thousandths of cores in
// use, and how many of its tasks the workers have room for.
func (f *fleet) waits(j *job) (idle bool, used int64, free int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began, ended := false, false
	runs := 0
	for i := range f.starts {
		began = began || f.starts[i].task == j.id+".0.1.0"
	}
	for _, w := range f.workers {
		var cpu, memory int64
		for task, e := range w.running {
			cpu, memory = cpu+e.cpu, memory+e.memory
			if task[:16] == j.id {
				runs++
			}
		}
		used += cpu
		st := j.steps[1]
		free += int(min((w.machine.capacity.CPU-cpu)/st.CPU, (w.machine.capacity.Memory-memory)/st.Memory))
		ended = ended || w.highest[j.id+".0.0.0"] > 0 && w.running[j.id+".0.0.0"] == nil
	}
	return ended && !began && runs == 0, used, free
}

// drainCase: a worker drains while orders get no answer and are carried out late. Starts that were
// not sent before go on being sent to it.
var drainCase = scenario{
	fleet: smallFleet(workerShape{count: 8, cpu: 64000, memory: 131072, labels: []string{"a"}}),
	config: func(c *configuration) {
		c.route("jobs", longPath, 2500)
		c.tenant("one", capacity{})
	},
	play: func(s *system) []string {
		// The first job shows on which worker short tasks are packed.
		s.submit("jobs", "one", step{Count: 1, CPU: 500, Memory: 64, Estimate: 20000, takes: 30 * time.Second})
		s.await(5*time.Second, "the first task doesn't begin", func() bool { return len(s.fleet.startsOf(func(*begun) bool { return true })) > 0 })
		w := s.fleet.startsOf(func(*begun) bool { return true })[0].worker
		time.Sleep(500 * time.Millisecond)
		lateSince := time.Now()
		if s.trouble {
			s.fleet.setLate(lateShare)
		}
		for range 4 {
			s.submit("jobs", "one", step{Count: 30, CPU: 500, Memory: 512, Estimate: 5000, takes: 5 * time.Second})
		}
		time.Sleep(100 * time.Millisecond)
		w.drain()
		s.await(5*time.Second, "the drain isn't acknowledged", func() bool { return !w.ackedAt().IsZero() })
		time.Sleep(time.Until(lateSince.Add(lateTime)))
		s.fleet.setLate(0)
		time.Sleep(time.Until(w.ackedAt().Add(drainTime + lingerTime)))
		w.leave()
		var breaks []string
		acked := w.ackedAt()
		for _, b := range s.fleet.startsOf(func(b *begun) bool { return b.worker == w && !b.late && b.at.After(acked.Add(drainTime)) }) {
			breaks = append(breaks, fmt.Sprintf("task %s run %d begins on %s %.2f s after the acknowledgement of its drain, on an order that was carried out at once",
				b.task, b.run, w.machine.id, b.at.Sub(acked).Seconds()))
		}
		return breaks
	},
}

const (
	// lateShare is the share of orders that get no answer and are carried out late, and lateTime how
	// long that goes on.
	lateShare = 0.5
	lateTime  = 5500 * time.Millisecond
)

func (f *fleet) setLate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = share
	f.s.note("worker", "share of orders that get no answer and are carried out late: %.2f", share)
}

func (w *worker) ackedAt() time.Time {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.drainAckedAt
}

// pendingCase: a worker is cut off. Jobs whose only task was to start there haven't begun, and
// aren't counted as pending.
var pendingCase = scenario{
	fleet: smallFleet(workerShape{count: 10, cpu: 16000, memory: 65536, labels: []string{"a"}}),
	config: func(c *configuration) {
		c.route("jobs", shortPath, 600)
		c.tenant("one", capacity{})
	},
	play: func(s *system) []string {
		s.submit("jobs", "one", step{Count: 1, CPU: 500, Memory: 64, Estimate: 20000, takes: 40 * time.Second})
		s.await(5*time.Second, "the first task doesn't begin", func() bool { return len(s.fleet.startsOf(func(*begun) bool { return true })) > 0 })
		w := s.fleet.startsOf(func(*begun) bool { return true })[0].worker
		time.Sleep(1500 * time.Millisecond)
		cutAt := time.Now()
		if s.trouble {
			w.cut(true)
		}
		var jobs []*job
		for range 6 {
			jobs = append(jobs, s.submit("jobs", "one", step{Count: 1, CPU: 500, Memory: 64, Estimate: 1000, takes: time.Second}))
		}
		healed := !s.trouble
		var breaks []string
		for time.Since(cutAt) < 12*time.Second {
			if !healed && time.Since(cutAt) >= cutTime {
				w.cut(false)
				healed = true
			}
			for _, n := range s.gateways() {
				asked := time.Now()
				count, ok := s.pending(n, "jobs", "one")
				// A start during the call counts as one before it.
				waiting := s.fleet.notBegun(jobs, asked.Add(-visibleTime-2*time.Second))
				if ok && 2*count < waiting && len(breaks) == 0 {
					breaks = append(breaks, fmt.Sprintf("%s gives %d jobs as pending; %d have been accepted over %.0f s ago and haven't begun", n.name, count, waiting, (visibleTime+2*time.Second).Seconds()))
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		return breaks
	},
}

// cutTime is how long a worker is cut off.
const cutTime = 5500 * time.Millisecond

// notBegun returns how many jobs that were accepted before an instant have begun no task.
func (f *fleet) notBegun(jobs []*job, before time.Time) int {
	n := 0
	for _, j := range jobs {
		if j.acceptedAt.Before(before) && len(f.startsOf(func(b *begun) bool { return b.job() == j.id })) == 0 {
			n++
		}
	}
	return n
}

// retiredCase: the operator retires a service, with its routes, while a machine is on its way to it.
// The leading scheduler ends by itself.
var retiredCase = scenario{
	fleet: smallFleet(workerShape{count: 4, cpu: 16000, memory: 65536, labels: []string{"a"}}, workerShape{count: 16, cpu: 16000, memory: 65536, labels: []string{"a"}, spare: true}),
	config: func(c *configuration) {
		c.service(spareName, true)
		c.route("jobs", longPath, 2500)
		c.tenant("one", capacity{})
	},
	play: func(s *system) []string {
		services, routes := s.current.Services, s.current.Routes
		s.platform.moved = make(chan string, 1000)
		ends := map[string]int{}
		var breaks []string
		for began := time.Now(); time.Since(began) < 75*time.Second && len(breaks) == 0; {
			s.current.Services, s.current.Routes = services[:2:2], routes[:1:1]
			s.current.service(otherName, false)
			s.current.route(otherName, longPath, 2500)
			s.current.Routes[1]["service"] = otherName
			s.configure()
			s.submit(otherName, "one", step{Count: 1, CPU: 12000, Memory: 512, Estimate: 1000, LongRunning: true})
			s.awaitMove(otherName)
			if s.trouble {
				s.current.Services, s.current.Routes = services[:2:2], routes[:1:1]
				s.configure()
			}
			time.Sleep(2500 * time.Millisecond)
			s.restartEnded(ends)
			breaks = faults(ends)
			if !s.trouble && time.Since(began) > 30*time.Second {
				break
			}
		}
		s.note("process", "processes that ended by themselves: %v", ends)
		return breaks
	},
}

// awaitMove waits until a machine is on its way to a pool.
func (s *system) awaitMove(pool string) {
	limit := time.After(10 * time.Second)
	for {
		select {
		case to := <-s.platform.moved:
			if to == pool {
				return
			}
		case <-limit:
			panic(cannotRun("no machine moves to " + pool))
		}
	}
}

// restartEnded starts the processes again that have ended by themselves, and counts them.
func (s *system) restartEnded(ends map[string]int) {
	for _, n := range s.nodes {
		select {
		case <-n.exited:
			ends[n.name]++
			s.note("process", "%s has ended by itself: %s", n.name, n.cmd.ProcessState)
			n.launch()
		default:
		}
	}
}

// faults returns what breaks the rule about processes that end by themselves: three times in the day
// on a tenth of the machines in use, two at least.
func faults(ends map[string]int) []string {
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	if machines < 2 {
		return nil
	}
	return []string{fmt.Sprintf("processes have ended by themselves three times on %d machines: %v", machines, ends)}
}
