package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

// versionInput is a read of the version of the rules, or an apply that expects a
// version.
type versionInput struct {
	apply    bool
	expected uint64
}

// versionOutput is the version that was read or that an apply has put in force. The
// outcome of an apply can also be a version conflict or unknown.
type versionOutput struct {
	version  uint64
	conflict bool
	unknown  bool
}

// versionModel models the version as a compare-and-set register: an apply with the
// current version increments it. An apply with unknown outcome may or may not have
// taken effect.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(uint64), input.(versionInput), output.(versionOutput)
		switch {
		case !in.apply && out.version == current:
			return []any{current}
		case in.apply && out.unknown && in.expected == current:
			return []any{current, current + 1}
		case in.apply && (out.unknown || out.conflict && in.expected != current):
			return []any{current}
		case in.apply && !out.conflict && in.expected == current && out.version == current+1:
			return []any{current + 1}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// history records the operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) add(client int, in versionInput, call time.Time, out versionOutput) {
	end := time.Now().UnixNano()
	if out.unknown {
		end = call.Add(time.Hour).UnixNano() // it can take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call.UnixNano(), Output: out, Return: end})
}

// Guards against accepted rules that are reverted, stale reads, and two applies that
// both succeed with the same expected version, while the leader is killed and
// suspended.
func TestRulesVersionHistoryIsLinearizable(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.eventually(20*time.Second, "a leader answers", func() bool {
		_, err := c.client.Rules(context.Background())
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	h := &history{}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.readAndApply(ctx, h, client)
		}()
	}
	for range 2 {
		time.Sleep(time.Second)
		p := c.leader().process
		p.kill()
		time.Sleep(time.Second)
		p.start()
		time.Sleep(time.Second)
		p = c.leader().process
		p.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		p.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	model := versionModel.ToModel()
	result := porcupine.CheckOperationsTimeout(model, h.operations, 30*time.Second)
	t.Logf("%d operations: %s", len(h.operations), result)
	require.Equal(t, porcupine.Ok, result)
	require.Greater(t, len(h.operations), 200)
}

// readAndApply reads and applies the rules in turn with its own operator client
// until ctx is cancelled.
func (c *cluster) readAndApply(ctx context.Context, h *history, client int) {
	operatorClient, err := operator.NewClient(operator.ClientOptions{Addresses: c.client.Addresses(), Token: token, Timeout: 10 * time.Second})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		call := time.Now()
		config, err := operatorClient.Rules(context.Background())
		if err != nil {
			continue // a failed read is not recorded
		}
		h.add(client, versionInput{}, call, versionOutput{version: config.Version})
		call = time.Now()
		in := versionInput{apply: true, expected: config.Version}
		result, err := operatorClient.Apply(context.Background(), config.Version, twoPoolRules)
		var problem *operator.Problem
		switch {
		case err == nil:
			h.add(client, in, call, versionOutput{version: result.Version})
		case errors.As(err, &problem) && problem.Code == operator.Code(state.CodeConflict):
			h.add(client, in, call, versionOutput{conflict: true})
		default:
			h.add(client, in, call, versionOutput{unknown: true})
		}
		time.Sleep(20 * time.Millisecond)
	}
}
