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
	// minRenewInterval is the interval at which the demand is checked, and so the
	// least time between two renewals.
	minRenewInterval = 50 * time.Millisecond
	// renewTimeout is short enough to try several control replicas within
	// view.FreshnessBound.
	renewTimeout = 300 * time.Millisecond
	// renewRetryDelay is the delay before the next attempt after a failed one.
	renewRetryDelay = 20 * time.Millisecond
)

// controlClient sends requests to the leader of the control replicas. It is not
// safe for concurrent use.
type controlClient struct {
	addrs    []string
	connect  func(addr string) *peer.Client
	clients  map[string]*peer.Client
	leader   string
	nextAddr int
}

// call sends a request to the replica that is believed to be the leader. After a
// failure, the next call goes to the leader that a follower named, or to the next
// replica.
func (c *controlClient) call(ctx context.Context, method string, request, response any) error {
	if c.leader == "" {
		c.leader = c.addrs[c.nextAddr%len(c.addrs)]
		c.nextAddr++
	}
	client := c.clients[c.leader]
	if client == nil {
		client = c.connect(c.leader)
		c.clients[c.leader] = client
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := client.Call(ctx, method, request, response)
	if err == nil {
		return nil
	}
	tried := c.leader
	c.leader = ""
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == view.CodeNotLeader && remote.Text != tried {
		c.leader = remote.Text
	}
	return err
}

func (c *controlClient) close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// renewer sends renewals to the leader and applies the deltas it answers with.
// Its goroutine is the only one that changes the view.
type renewer struct {
	control      *controlClient
	views        *view.Publisher
	demand       func() []view.Demand
	buildRequest func() view.RenewRequest
	install      func(*view.View)
	log          logr.Logger
	failed       counter
	refused      counter

	reported  []view.Demand
	lastSent  time.Time
	confirmed bool
}

// run sends renewals until ctx ends.
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
		if now.Sub(r.lastSent) < renewInterval-minRenewInterval/2 && !urgent(r.reported, demand) {
			timer.Reset(minRenewInterval)
			continue
		}
		pause := minRenewInterval
		if err := r.renew(ctx, demand); err != nil {
			pause = renewRetryDelay
		}
		timer.Reset(pause)
	}
}

func (r *renewer) renew(ctx context.Context, demand []view.Demand) error {
	message := r.buildRequest()
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
	r.logTransition(err)
	if err != nil {
		r.failed.Inc(1)
		return err
	}
	r.reported, r.lastSent = demand, sent
	return nil
}

// logTransition logs when the view becomes stale and when it is confirmed again.
func (r *renewer) logTransition(err error) {
	switch {
	case err != nil && r.confirmed && !r.views.Current().Fresh():
		r.confirmed = false
		r.log.Info("Isolated: renewals fail and the view of the control state is stale.", "reason", err.Error())
	case err == nil && !r.confirmed && r.views.Current().Fresh():
		r.confirmed = true
		r.log.Info("The view of the control state is confirmed.", "index", r.views.Current().Index)
	}
}

// urgent reports whether the demand changed so much that the leader should know
// before the next regular renewal. This is the case if there was no demand before,
// or if a team needs more than its grant for the first time, needs more than its
// grant and at least twice as much as reported, no longer needs a grant that it
// has, or uses another grant than reported.
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
		needNow, needBefore := d.Running+d.Waiting, b.Running+b.Waiting
		switch {
		case d.Grant != b.Grant:
			return true
		case needNow > d.Grant && (needBefore <= b.Grant || needNow >= 2*needBefore):
			return true
		case needNow == 0 && needBefore > 0 && d.Grant > 0:
			return true
		}
	}
	return false
}
