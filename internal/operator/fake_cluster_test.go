package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
)

const testToken = "a-token-for-tests"

// fakeCluster is one control state behind several administration servers, one of
// which is the leader. It executes the commands that the tests use.
type fakeCluster struct {
	mu                sync.Mutex
	state             *state.State
	leader            int
	executed          int // commands executed, without results replayed from a session
	membershipChanges int // calls to AddReplica and RemoveReplica
	// unknownOutcomes is the number of next commands that are executed but return
	// ErrUnknownOutcome.
	unknownOutcomes int
	// lostResponses is the number of next calls to the leader that are served but
	// whose connection is closed instead of sending the response.
	lostResponses int
	// beforeLoss is called, with the lock held, after a call was served whose response is lost.
	beforeLoss func()
	servers    []*httptest.Server
}

type fakeBackend struct {
	cluster *fakeCluster
	number  int
}

func newFakeCluster(t *testing.T, replicas int, options Options) *fakeCluster {
	f := &fakeCluster{state: state.New(), beforeLoss: func() {}}
	if options.Tokens == nil {
		tokens, err := ParseTokens("tokens", TokenLine("asha", testToken)+"\n"+TokenLine("juma", "other"))
		require.NoError(t, err)
		options.Tokens = tokens
	}
	for i := range replicas {
		handler := NewServer(&fakeBackend{f, i}, options)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			dropResponse := f.lostResponses > 0 && i == f.leader
			if dropResponse {
				f.lostResponses--
			}
			f.mu.Unlock()
			if !dropResponse {
				handler.ServeHTTP(w, r)
				return
			}
			handler.ServeHTTP(httptest.NewRecorder(), r)
			f.update(f.beforeLoss)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
	}
	return f
}

func (f *fakeCluster) address(i int) string {
	return strings.TrimPrefix(f.servers[i].URL, "http://")
}

func (f *fakeCluster) client(t *testing.T, token string) *Client {
	o := ClientOptions{Token: token, Timeout: 5 * time.Second}
	for i := range f.servers {
		o.Addresses = append(o.Addresses, f.address(i))
	}
	c, err := NewClient(o)
	require.NoError(t, err)
	return c
}

func (f *fakeCluster) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeCluster) applySampleRules(t *testing.T) {
	_, err := f.client(t, testToken).Apply(ctx, f.state.Config.Version, sampleRules)
	require.NoError(t, err)
}

func (f *fakeCluster) executedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executed
}

func (b *fakeBackend) leaderError() error {
	f := b.cluster
	if f.leader == b.number {
		return nil
	}
	if f.leader < 0 {
		return &NotLeaderError{}
	}
	return &NotLeaderError{Leader: f.address(f.leader)}
}

func (b *fakeBackend) Propose(_ context.Context, c state.Command) (state.Result, error) {
	f := b.cluster
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := b.leaderError(); err != nil {
		return state.Result{}, err
	}
	log := f.state.Sessions[c.Session.Client]
	if log == nil || log.Results[c.Session.Sequence].Index == 0 {
		f.executed++
	}
	result := f.state.Apply(f.state.Index+1, c)
	if f.unknownOutcomes > 0 {
		f.unknownOutcomes--
		return state.Result{}, ErrUnknownOutcome
	}
	return result, nil
}

func (b *fakeBackend) Read(_ context.Context, f func(*state.State)) error {
	b.cluster.mu.Lock()
	defer b.cluster.mu.Unlock()
	if err := b.leaderError(); err != nil {
		return err
	}
	f(b.cluster.state)
	return nil
}

func (b *fakeBackend) Status() Status { return Status{Name: fmt.Sprint("control-", b.number)} }

func (b *fakeBackend) AddReplica(context.Context, string, string) error {
	b.cluster.mu.Lock()
	defer b.cluster.mu.Unlock()
	b.cluster.membershipChanges++
	return b.leaderError()
}

func (b *fakeBackend) RemoveReplica(_ context.Context, name string) error {
	b.cluster.mu.Lock()
	defer b.cluster.mu.Unlock()
	b.cluster.membershipChanges++
	return fmt.Errorf("replica %s is the only voter", name)
}
