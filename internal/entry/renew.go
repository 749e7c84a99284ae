package entry

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"cactusspar/internal/peer"
	"cactusspar/internal/view"
)

const (
	renewInterval = 200 * time.Millisecond
	// renewMinimum bounds renewals on a change of demand.
	renewMinimum = 50 * time.Millisecond
	// renewTimeout leaves time for several control replicas within the
	// freshness bound.
	renewTimeout = 300 * time.Millisecond
	// renewPause is the time before another replica is asked while no leader
	// is known.
	renewPause = 20 * time.Millisecond
)

// controlClient talks to the leader among the control replicas. It is used by
// one goroutine.
type controlClient struct {
	addrs   []string
	connect func(addr string) *peer.Client
	clients map[string]*peer.Client
	leader  string
	next    int
}

// call asks the replica that is believed to be the leader. After a failure, the
// next call asks the leader that a follower named, or another replica.
func (c *controlClient) call(ctx context.Context, method string, request, answer any) error {
	if c.leader == "" {
		c.leader = c.addrs[c.next%len(c.addrs)]
		c.next++
	}
	client := c.clients[c.leader]
	if client == nil {
		client = c.connect(c.leader)
		c.clients[c.leader] = client
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := client.Call(ctx, method, request, answer)
	if err == nil {
		return nil
	}
	asked := c.leader
	c.leader = ""
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == view.CodeNotLeader && remote.Text != asked {
		c.leader = remote.Text
	}
	return err
}

func (c *controlClient) close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// renewer keeps the view confirmed. Its goroutine is the only one that changes
// the view.
type renewer struct {
	control *controlClient
	views   *view.Holder
	demand  func() []view.Demand
	build   func() view.Renew
	install func(*view.View)
	log     logr.Logger
	failed  counter
	refused counter

	last      []view.Demand
	lastSent  time.Time
	reachable bool
}

// run renews until ctx ends.
func (r *renewer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		demand := r.demand()
		now := time.Now()
		if now.Sub(r.lastSent) < renewInterval-renewMinimum/2 && !urgent(r.last, demand) {
			timer.Reset(renewMinimum)
			continue
		}
		pause := renewMinimum
		if err := r.renew(ctx, demand); err != nil {
			pause = renewPause
		}
		timer.Reset(pause)
	}
}

func (r *renewer) renew(ctx context.Context, demand []view.Demand) error {
	message := r.build()
	message.Demand = demand
	var delta view.Delta
	sent := time.Now()
	err := r.control.call(ctx, view.MethodRenew, message, &delta)
	if err == nil {
		_, err = r.views.Confirm(sent, &delta, r.install)
		if err != nil {
			r.refused.Inc(1)
		}
	}
	r.report(err)
	if err != nil {
		r.failed.Inc(1)
		return err
	}
	r.last, r.lastSent = demand, sent
	return nil
}

// report logs when the contact to the leader is lost or comes back.
func (r *renewer) report(err error) {
	switch {
	case err != nil && r.reachable && !r.views.Current().Fresh():
		r.reachable = false
		r.log.Info("Isolated: the view could not be confirmed.", "reason", err.Error())
	case err == nil && !r.reachable && r.views.Current().Fresh():
		r.reachable = true
		r.log.Info("The view is confirmed.", "index", r.views.Current().Index)
	}
}

// urgent tells whether the demand changed so much that the leader should know
// before the next regular renewal: a team needs more than its grant for the
// first time or twice as much as reported, needs nothing any more, or uses
// another grant than reported.
func urgent(reported, now []view.Demand) bool {
	if len(reported) == 0 {
		return len(now) > 0
	}
	type id struct{ team, pool string }
	before := make(map[id]view.Demand, len(reported))
	for _, d := range reported {
		before[id{d.Team, d.Pool}] = d
	}
	for _, d := range now {
		b := before[id{d.Team, d.Pool}]
		need, needed := d.Running+d.Waiting, b.Running+b.Waiting
		switch {
		case d.Grant != b.Grant:
			return true
		case need > d.Grant && (needed <= b.Grant || need >= 2*needed):
			return true
		case need == 0 && needed > 0 && d.Grant > 0:
			return true
		}
	}
	return false
}
