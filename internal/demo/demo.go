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

// Run starts the system and applies rules, then demonstrates a request that is
// answered, a resend of it, a request that is refused, a maintenance wave under load
// and the withdrawal of a key. It stops everything at the end.
func Run(ctx context.Context, out io.Writer, log logr.Logger) (err error) {
	d := &demo{out: out}
	d.printf("Starting %d control replicas, %d entry instances, %d endpoints and a platform in one process.", controlReplicas, entryInstances, endpointsPerPool*len(demoPools))
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

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) stop() error {
	err := d.system.stop()
	d.printf("Stopped everything.")
	return err
}

// configure applies the rules, creates the key and starts the endpoints.
func (d *demo) configure(ctx context.Context) error {
	result, err := d.client.Apply(ctx, 0, demoRules)
	if err != nil {
		return err
	}
	d.printf("Applied the rules; version %d is in force.", result.Version)
	d.secret = operator.NewSecret()
	if _, err := d.client.GiveKey(ctx, "importers-1", "importers", d.secret); err != nil {
		return err
	}
	d.printf("Gave team importers a key.")
	var announceTo []string
	for _, e := range d.entries {
		announceTo = append(announceTo, "http://"+e.Endpoints.Address)
	}
	return d.fleet.Start(announceTo)
}

// response is the part of an HTTP response that the demo uses.
type response struct {
	status  int
	outcome string
	body    string
}

// send sends a request through entry instance n. Without a key or an idempotency
// key, the respective header is left out.
func (d *demo) send(ctx context.Context, n int, method, key, idempotencyKey string) (response, error) {
	url := "http://" + d.entries[n].Callers.Address + orderPath
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	req.Header.Set("Standin-Nonce", "order accepted. ")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return response{resp.StatusCode, resp.Header.Get("Cactusspar-Outcome"), string(body)}, err
}

// retryUntil repeats a request until it has the wanted outcome, for at most
// readyTimeout.
func (d *demo) retryUntil(ctx context.Context, want string, request func() (response, error)) error {
	end := time.Now().Add(readyTimeout)
	for {
		r, err := request()
		if err == nil && r.outcome == want {
			return nil
		}
		if time.Now().After(end) {
			return errs.New("no outcome %q within %v; last: %+v, %w", want, readyTimeout, r, err)
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
	// The requests fail until the endpoints are announced. GET is idempotent, so it
	// can be repeated.
	for n := range d.entries {
		err := d.retryUntil(ctx, "answered", func() (response, error) {
			return d.send(ctx, n, http.MethodGet, d.secret, "")
		})
		if err != nil {
			return err
		}
	}
	r, err := d.send(ctx, 0, http.MethodPost, d.secret, "order-1")
	if err != nil {
		return err
	}
	d.printf("An order with the team's key: %d, outcome %s, body %q.", r.status, r.outcome, r.body)
	return expectOutcome(r, "answered")
}

// resend sends the order of serve again, through another entry instance.
func (d *demo) resend(ctx context.Context) error {
	r, err := d.send(ctx, 1, http.MethodPost, d.secret, "order-1")
	if err != nil {
		return err
	}
	d.printf("The same order resent through another entry instance: %d, outcome %s; it ran once.", r.status, r.outcome)
	if r.outcome == "not-run" {
		return errors.New("a request that ran was refused as not run")
	}
	return nil
}

func (d *demo) refuse(ctx context.Context) error {
	r, err := d.send(ctx, 0, http.MethodPost, "", "order-2")
	if err != nil {
		return err
	}
	d.printf("An order without a key: %d, outcome %s.", r.status, r.outcome)
	return expectOutcome(r, "not-run")
}

// maintain runs a maintenance wave, which drains and reboots the instances of a pool
// one at a time, while callers send requests.
func (d *demo) maintain(ctx context.Context) error {
	d.printf("Starting a maintenance wave over pool orders, under load.")
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	reports := make(chan *standin.Report, 1)
	go func() {
		report, err := standin.Load(loadCtx, d.loadConfig())
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
	d.printf("The wave is done: %d instances drained and rebooted; %d requests answered, %d refused as not run, %d cut.",
		endpointsPerPool, report.Outcomes[standin.OutcomeAnswered], report.Outcomes[standin.OutcomeNotRun], report.Outcomes[standin.OutcomeUnknown]+report.Outcomes[standin.OutcomeMismatched])
	if report.Outcomes[standin.OutcomeUnknown]+report.Outcomes[standin.OutcomeMismatched] > 0 {
		return errors.New("the wave cut requests")
	}
	return nil
}

func (d *demo) loadConfig() standin.LoadConfig {
	cfg := standin.LoadConfig{
		Queues: []standin.QueueDemand{{Queue: "orders", Rate: 50, Work: 20 * time.Millisecond, Size: 1000}},
		Teams:  []standin.TeamKey{{Team: "importers", Key: d.secret}}, Duration: time.Minute, Deadline: 3 * time.Second, NonIdempotent: 0.5,
	}
	for _, e := range d.entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.Callers.Address)
	}
	return cfg
}

// waitWave waits until the wave is done and prints its progress.
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
			d.printf("  %d of %d instances maintained.", done, done+len(w.Todo))
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

// withdraw withdraws the key and waits until every entry instance refuses it.
func (d *demo) withdraw(ctx context.Context) error {
	if _, err := d.client.WithdrawKey(ctx, "importers-1"); err != nil {
		return err
	}
	withdrawnAt := time.Now()
	for n := range d.entries {
		err := d.retryUntil(ctx, "not-run", func() (response, error) {
			return d.send(ctx, n, http.MethodGet, d.secret, "")
		})
		if err != nil {
			return err
		}
	}
	d.printf("The withdrawn key is refused by every entry instance after %v.", time.Since(withdrawnAt).Round(time.Millisecond))
	return nil
}

// expectOutcome returns an error unless the response has the given outcome.
func expectOutcome(r response, outcome string) error {
	if r.outcome != outcome {
		return errs.New("outcome %q, expected %q: %s", r.outcome, outcome, r.body)
	}
	return nil
}
