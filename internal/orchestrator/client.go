package orchestrator

import (
	"cmp"
	"context"
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/control"
	"cactusspar/internal/peer"
	"cactusspar/internal/relay"
	"cactusspar/internal/view"
	"cactusspar/internal/workload"
)

// Client executes calls that arrive at any replica. It calls the Orchestrator directly
// on the leader and forwards the call to the leader otherwise.
type Client struct {
	Replica      *control.Replica
	Orchestrator *Orchestrator
}

const (
	// forwardRetryDelay is the delay between two attempts while no leader responds.
	forwardRetryDelay = 50 * time.Millisecond
	// forwardTimeout bounds one attempt, so that a call does not wait for an
	// unresponsive leader until the caller's deadline.
	forwardTimeout = 500 * time.Millisecond
	// forwardBytesPerSecond is the least rate at which a replica decodes, sends and commits a
	// configuration. A large one would otherwise be sent again before the first attempt has ended.
	forwardBytesPerSecond = 2 << 20
)

// TransferTime returns how long a configuration takes beyond the time of a small request.
func TransferTime(t *workload.Topology) time.Duration {
	return time.Duration(len(t.Document)) * time.Second / forwardBytesPerSecond
}

// forward calls the leader until it responds or ctx ends. Calls are idempotent.
func (c *Client) forward(ctx context.Context, method string, request, response any, local func() error) error {
	return c.forwardWithin(ctx, forwardTimeout, method, request, response, local)
}

// forwardWithin is forward with a time limit for one attempt.
func (c *Client) forwardWithin(ctx context.Context, timeout time.Duration, method string, request, response any, local func() error) error {
	for {
		err := c.attempt(ctx, timeout, method, request, response, local)
		var remote *peer.RemoteError
		if err == nil || errors.As(err, &remote) && remote.Code != view.CodeNotLeader {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(forwardRetryDelay):
		}
	}
}

// attempt calls the leader once. Its error has the code view.CodeNotLeader while no
// leader is known.
func (c *Client) attempt(ctx context.Context, timeout time.Duration, method string, request, response any, local func() error) error {
	leader, self, err := c.leader(ctx)
	switch {
	case err != nil:
		return err
	case self:
		return local()
	case leader == "":
		return &peer.RemoteError{Code: view.CodeNotLeader, Text: ""}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Replica.CallPeer(ctx, leader, method, request, response)
}

// leader returns the leader's peer address, and whether this replica leads.
func (c *Client) leader(ctx context.Context) (string, bool, error) {
	var leader control.Address
	self := false
	err := c.Replica.Await(ctx, func(done func(error)) {
		leader = c.Replica.LeaderAddress()
		self = c.Orchestrator.leadership != nil
		done(nil)
	})
	return leader.Peer, self, err
}

// Report processes a worker's report. It returns the operator address to which the worker
// may send later reports, or "" if it is not known. A replica that carries the leader's
// orders passes reports that change nothing on in batches, and the leader sends workers to
// it; all others are forwarded to the leader.
func (c *Client) Report(ctx context.Context, r *Report) (string, error) {
	if passed, err := c.passOn(ctx, r); err != nil || passed {
		return c.Replica.SelfAddress().Operator, err
	}
	err := c.forward(ctx, MethodReport, r, &Acknowledgement{}, func() error { return c.Orchestrator.Report(ctx, r) })
	if err != nil {
		return "", err
	}
	var address control.Address
	err = c.Replica.Await(ctx, func(done func(error)) {
		address = c.Replica.LeaderAddress()
		if carrier := c.Orchestrator.relayClient.CarrierOf(r.Worker.ID); carrier != "" {
			address.Operator = cmp.Or(c.Replica.OperatorAddress(carrier), address.Operator)
		}
		done(nil)
	})
	return address.Operator, err
}

// passOn passes a report on to the leader in a batch if it shows nothing that is not
// committed.
func (c *Client) passOn(ctx context.Context, r *Report) (bool, error) {
	if !c.Orchestrator.relayServer.Connected() {
		return false, nil
	}
	received := boottime.Now()
	unchanged := false
	err := c.Replica.Await(ctx, func(done func(error)) {
		known := c.Replica.Workload().Workers[r.Worker.ID]
		unchanged = c.Orchestrator.leadership == nil && known != nil && known.EqualReport(&r.Worker)
		done(nil)
	})
	if err != nil || !unchanged {
		return false, err
	}
	return c.Orchestrator.relayServer.PassOn(&relay.Report{
		Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation, Sequence: r.Sequence, Clock: r.Clock, WarmUpLeft: r.WarmUpLeft, ReceivedAt: received,
	}), nil
}

// Leave deregisters a worker that shuts down. The call may wait here for a leader while the worker
// restarts under its ID, so that it applies to the incarnation that is known when it arrives.
func (c *Client) Leave(ctx context.Context, worker string) error {
	l := &LeaveRequest{Worker: worker}
	err := c.Replica.Await(ctx, func(done func(error)) {
		if known := c.Replica.Workload().Workers[worker]; known != nil {
			l.Incarnation = known.Incarnation
		}
		done(nil)
	})
	if err != nil {
		return err
	}
	return c.forward(ctx, MethodLeave, l, &Acknowledgement{}, func() error { return c.Orchestrator.Leave(ctx, l) })
}

// ApplyTopology commits a topology.
func (c *Client) ApplyTopology(ctx context.Context, t *workload.Topology) error {
	return c.forwardWithin(ctx, forwardTimeout+TransferTime(t), MethodApplyTopology, t, &Acknowledgement{}, func() error { return c.Orchestrator.ApplyTopology(ctx, t) })
}

// ReadTopology returns the topology after a confirmed read.
func (c *Client) ReadTopology(ctx context.Context) (*workload.Topology, error) {
	out := &workload.Topology{}
	err := c.forward(ctx, MethodReadTopology, &TopologyRequest{}, out, func() error {
		t, err := c.Orchestrator.ReadTopology(ctx)
		if err == nil {
			out = t
		}
		return err
	})
	return out, err
}

// StartWave commits a maintenance wave.
func (c *Client) StartWave(ctx context.Context, w *workload.Wave) error {
	return c.forward(ctx, MethodStartWave, w, &Acknowledgement{}, func() error { return c.Orchestrator.StartWave(ctx, w) })
}

// Evacuate begins or ends the evacuation of a data centre.
func (c *Client) Evacuate(ctx context.Context, r *EvacuationRequest) error {
	return c.forward(ctx, MethodEvacuate, r, &Acknowledgement{}, func() error { return c.Orchestrator.Evacuate(ctx, r) })
}

// WaveStatus returns the progress of a maintenance wave.
func (c *Client) WaveStatus(ctx context.Context, id uint64) (*WaveStatus, error) {
	out := &WaveStatus{}
	err := c.forward(ctx, MethodWaveStatus, &workload.Wave{ID: id}, out, func() error {
		s, err := c.Orchestrator.WaveStatus(ctx, id)
		if err == nil {
			out = s
		}
		return err
	})
	return out, err
}
