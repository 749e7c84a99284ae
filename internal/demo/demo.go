package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"cactusspar/internal/operator"
	"cactusspar/internal/standin"
	"cactusspar/internal/state"
)

const demoRules = `region coast                                        # Asha M., operations: the one region we run in
datacentre dc-1 region=coast                        # Asha M., operations: hall A
datacentre dc-2 region=coast                        # Asha M., operations: hall B
datacentre dc-3 region=coast                        # Asha M., operations: hall C
pool orders min=2 max=6 unavailable=1 period=35d    # Asha M., operations: one order worker away at a time
pool portal min=2 max=6 unavailable=1 period=35d    # Asha M., operations: status pages
queue orders pool=orders access=keyed length=500    # Juma K., sales: importers place orders
queue status pool=portal access=open length=500     # Juma K., sales: public status page
team importers share=40 limit=20                    # Juma K., sales: contract annex 2
spare portal                                        # Asha M., operations: portal lends at peaks
weight buffer=4 share=4 rollout=1 moves=1           # Asha M., operations: peaks are perishable
`

var demoPools = []string{"orders", "portal"}

// Run starts the system, shows a request that is served, one that is refused,
// a resend, and a drain under load, and stops everything.
func Run(ctx context.Context, out io.Writer, log logr.Logger) (err error) {
	d := &demo{out: out}
	d.say("Starting %d control replicas, %d entry instances, %d endpoints and a platform in one process.", replicas, entries, endpoints*len(demoPools))
	d.system, err = start(ctx, log)
	if d.system != nil {
		defer func() { err = errors.Join(err, d.stop()) }()
	}
	if err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{d.configure, d.serve, d.resend, d.refuse, d.maintain, d.withdraw} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type demo struct {
	*system
	out    io.Writer
	secret string
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) stop() error {
	err := d.system.stop()
	d.say("Stopped everything.")
	return err
}

func (d *demo) configure(ctx context.Context) error {
	result, err := d.client.Apply(ctx, 0, demoRules)
	if err != nil {
		return err
	}
	d.say("Applied the rules; version %d is in force.", result.Version)
	d.secret = operator.NewSecret()
	if _, err := d.client.GiveKey(ctx, "importers-1", "importers", d.secret); err != nil {
		return err
	}
	d.say("Gave team importers a key.")
	var announceTo []string
	for _, e := range d.entries {
		announceTo = append(announceTo, "http://"+e.Endpoints.Address)
	}
	return d.fleet.Start(announceTo)
}

// answer is what a caller gets.
type answer struct {
	status  int
	outcome string
	body    string
}

// send sends a request through entry instance n.
func (d *demo) send(ctx context.Context, n int, method, key, identity string) (answer, error) {
	url := "http://" + d.entries[n].Callers.Address + orderPath
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if identity != "" {
		req.Header.Set("Idempotency-Key", identity)
	}
	req.Header.Set("Standin-Nonce", "order accepted. ")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return answer{resp.StatusCode, resp.Header.Get("Cactusspar-Outcome"), string(body)}, err
}

// until repeats a request until its outcome is the wanted one.
func (d *demo) until(ctx context.Context, want string, request func() (answer, error)) error {
	end := time.Now().Add(readyTimeout)
	for {
		a, err := request()
		if err == nil && a.outcome == want {
			return nil
		}
		if time.Now().After(end) {
			return errs.New("no outcome %q within %v; last: %+v, %w", want, readyTimeout, a, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

const orderPath = "/q/orders/place?work=20ms&size=15"

func (d *demo) serve(ctx context.Context) error {
	// The endpoints need a moment to be announced; GET is safe to repeat.
	for n := range d.entries {
		err := d.until(ctx, "answered", func() (answer, error) {
			return d.send(ctx, n, http.MethodGet, d.secret, "")
		})
		if err != nil {
			return err
		}
	}
	a, err := d.send(ctx, 0, http.MethodPost, d.secret, "order-1")
	if err != nil {
		return err
	}
	d.say("An order with the team's key: %d, outcome %s, body %q.", a.status, a.outcome, a.body)
	return expect(a, "answered")
}

func (d *demo) resend(ctx context.Context) error {
	a, err := d.send(ctx, 1, http.MethodPost, d.secret, "order-1")
	if err != nil {
		return err
	}
	d.say("The same order resent through another entry instance: %d, outcome %s; it ran once.", a.status, a.outcome)
	if a.outcome == "not-run" {
		return errors.New("a request that ran was refused as not run")
	}
	return nil
}

func (d *demo) refuse(ctx context.Context) error {
	a, err := d.send(ctx, 0, http.MethodPost, "", "order-2")
	if err != nil {
		return err
	}
	d.say("An order without a key: %d, outcome %s.", a.status, a.outcome)
	return expect(a, "not-run")
}

// maintain drains and reboots every instance of a pool, one after the other,
// while callers send requests.
func (d *demo) maintain(ctx context.Context) error {
	d.say("Starting a maintenance wave over pool orders, under load.")
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	reports := make(chan *standin.Report, 1)
	go func() {
		report, err := standin.Load(loadCtx, d.load())
		if err != nil {
			report = nil
		}
		reports <- report
	}()
	if _, err := d.client.StartWave(ctx, "demo", []string{"orders"}, nil); err != nil {
		return err
	}
	if err := d.waitWave(ctx); err != nil {
		return err
	}
	stopLoad()
	report := <-reports
	if report == nil {
		return errors.New("the load failed")
	}
	d.say("The wave is done: %d instances drained and rebooted; %d requests answered, %d refused as not run, %d cut.",
		endpoints, report.Outcomes[standin.OutcomeAnswered], report.Outcomes[standin.OutcomeNotRun], report.Outcomes[standin.OutcomeUnknown]+report.Outcomes[standin.OutcomeForeign])
	if report.Outcomes[standin.OutcomeUnknown]+report.Outcomes[standin.OutcomeForeign] > 0 {
		return errors.New("the wave cut requests")
	}
	return nil
}

func (d *demo) load() standin.LoadConfig {
	cfg := standin.LoadConfig{
		Queues: []standin.QueueDemand{{Queue: "orders", Rate: 50, Work: 20 * time.Millisecond, Size: 1000}},
		Teams:  []standin.TeamKey{{Team: "importers", Key: d.secret}}, Duration: time.Minute, Deadline: 3 * time.Second, NonIdempotent: 0.5,
	}
	for _, e := range d.entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.Callers.Address)
	}
	return cfg
}

func (d *demo) waitWave(ctx context.Context) error {
	end := time.Now().Add(2 * readyTimeout)
	done := -1
	for {
		w, err := d.client.Wave(ctx, "demo")
		if err != nil {
			return err
		}
		if len(w.Done) != done {
			done = len(w.Done)
			d.say("  %d of %d instances maintained.", done, done+len(w.Todo))
		}
		switch {
		case w.Status == state.WaveDone:
			return nil
		case w.Status != state.WaveRunning || time.Now().After(end):
			return errs.New("the wave is %s: %s", w.Status, w.Reason)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *demo) withdraw(ctx context.Context) error {
	if _, err := d.client.WithdrawKey(ctx, "importers-1"); err != nil {
		return err
	}
	began := time.Now()
	for n := range d.entries {
		err := d.until(ctx, "not-run", func() (answer, error) {
			return d.send(ctx, n, http.MethodGet, d.secret, "")
		})
		if err != nil {
			return err
		}
	}
	d.say("The withdrawn key is refused by every entry instance after %v.", time.Since(began).Round(time.Millisecond))
	return nil
}

func expect(a answer, outcome string) error {
	if a.outcome != outcome {
		return errs.New("outcome %q, expected %q: %s", a.outcome, outcome, a.body)
	}
	return nil
}
