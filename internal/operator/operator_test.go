package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

const sampleRules = `region coast # Asha M., operations: one region
datacentre dar-1 region=coast # Asha M., operations: hall A
pool quotes min=1 max=4 unavailable=1 # Asha M., operations: quotes
pool portal min=1 max=4 unavailable=1 # Asha M., operations: portal
queue quotes pool=quotes access=keyed length=10 # Juma K., sales: shops
team shops share=1 limit=2 # Juma K., sales: contract
`

var ctx = context.Background()

func problemCode(err error) Code {
	var p *Problem
	if errors.As(err, &p) {
		return p.Code
	}
	return ""
}

// TestResendAfterLostResponse guards against a command that is executed twice, or
// reported as failed, because its response was lost.
func TestResendAfterLostResponse(t *testing.T) {
	f := newFakeCluster(t, 3, Options{})
	c := f.client(t, testToken)
	f.update(func() { f.lostResponses = 2 })
	result, err := c.Apply(ctx, 0, sampleRules)
	require.NoError(t, err)
	require.EqualValues(t, 1, result.Version)
	f.update(func() { f.unknownOutcomes = 2 })
	result, err = c.Apply(ctx, 1, sampleRules)
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Version)
	f.update(func() {
		f.state.Instances["q-1"] = &state.Instance{ID: "q-1", Pool: "quotes", Condition: state.Drained}
		f.state.Instances["q-2"] = &state.Instance{ID: "q-2", Pool: "quotes", Condition: state.Active}
	})
	f.update(func() { f.lostResponses = 1 })
	_, err = c.Move(ctx, "q-1", "portal")
	require.NoError(t, err, "the resent move succeeds although the first attempt has already moved the instance")
	require.Equal(t, 3, f.executedCount())
}

// TestClientFollowsLeader guards against a client that stays with a follower or a
// failed leader, and against a token that is dropped on the redirect to the leader.
func TestClientFollowsLeader(t *testing.T) {
	f := newFakeCluster(t, 3, Options{})
	c := f.client(t, testToken)
	for i := range 6 {
		f.update(func() { f.leader = (i * 2) % 3 })
		_, err := c.Apply(ctx, uint64(i), sampleRules)
		require.NoError(t, err)
	}
	f.update(func() { f.leader = -1 })
	time.AfterFunc(300*time.Millisecond, func() { f.update(func() { f.leader = 1 }) })
	_, err := c.Rules(ctx)
	require.NoError(t, err, "the call waits for the election")
	f.servers[1].Close()
	f.update(func() { f.leader = 2 })
	_, err = c.Rules(ctx)
	require.NoError(t, err)
}

// TestFollowerRedirectsToLeader guards against a follower response that a standard
// HTTP client cannot follow to the leader.
func TestFollowerRedirectsToLeader(t *testing.T) {
	f := newFakeCluster(t, 2, Options{})
	response := send(t, f.address(1), "GET", "/v1/keys?team=shops", testToken, "", "")
	require.Equal(t, http.StatusTemporaryRedirect, response.StatusCode)
	require.Equal(t, "http://"+f.address(0)+"/v1/keys?team=shops", response.Header.Get("Location"))
	require.Equal(t, problemType, response.Header.Get("Content-Type"))
}

// TestConflictNamesAcceptedOperator guards against accepting two changes with the
// same expected version, and against a conflict that does not name the operator
// whose change was accepted.
func TestConflictNamesAcceptedOperator(t *testing.T) {
	f := newFakeCluster(t, 3, Options{})
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		c := f.client(t, []string{testToken, "other"}[i%2])
		wg.Go(func() { _, errs[i] = c.Apply(ctx, 0, sampleRules) })
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		require.Equal(t, Code(state.CodeConflict), problemCode(err))
		require.ErrorContains(t, err, "by "+f.state.Config.Author)
	}
	require.Equal(t, 1, accepted)
}

// TestSessionsAreScopedToOperator guards against an operator who obtains the result
// of another operator's command by sending the same session.
func TestSessionsAreScopedToOperator(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	body := `{"session":{"client":"x","sequence":1},"id":"k1","team":"shops","hash":"` + strings.Repeat("ab", 32) + `"}`
	f.applySampleRules(t)
	for _, token := range []string{testToken, testToken} {
		require.Equal(t, http.StatusOK, send(t, f.address(0), "POST", "/v1/keys", token, "application/json", body).StatusCode)
	}
	response := send(t, f.address(0), "POST", "/v1/keys", "other", "application/json", body)
	require.Equal(t, http.StatusConflict, response.StatusCode, "executed as a separate command, which conflicts with the existing key")
	require.Equal(t, 3, f.executedCount())
}

// TestUnknownOutcome guards against reporting a command with an unknown outcome as
// failed, and against retrying a non-idempotent call that has no session.
func TestUnknownOutcome(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	c := f.client(t, testToken)
	c.options.Timeout = 300 * time.Millisecond
	f.update(func() { f.lostResponses = 1000 })
	_, err := c.Apply(ctx, 0, sampleRules)
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorIs(t, c.RemoveReplica(ctx, "control-2"), ErrUnknownOutcome)
	f.update(func() { require.Equal(t, 1, f.membershipChanges, "removing a replica is not repeated") })
	require.ErrorIs(t, c.AddReplica(ctx, "control-4", "127.0.0.1:1"), ErrUnknownOutcome)
	f.update(func() { require.Less(t, 2, f.membershipChanges, "adding a replica is repeated") })
	f.servers[0].Close()
	_, err = c.Apply(ctx, 0, sampleRules)
	require.NotErrorIs(t, err, ErrUnknownOutcome, "nothing was sent")
	require.ErrorContains(t, err, "no control replica answered")
}

// TestRefusedResendLeavesOutcomeUnknown guards against a job that is reported as refused
// although its first submission was executed: its response was lost, and the queue was
// removed before the second one.
func TestRefusedResendLeavesOutcomeUnknown(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	topology := &workload.Topology{Version: 1, Queues: []workload.Queue{{Name: "q"}}}
	topology.BuildIndex()
	f.state.Workload.Topology = topology
	f.beforeLoss = func() { f.state.Workload.Topology = &workload.Topology{Version: 2} }
	c := f.client(t, testToken)
	job := WorkRequest{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []WorkStepRequest{{Count: 1}}}
	f.update(func() { f.lostResponses = 1 })
	_, err := c.SubmitWork(ctx, job)
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.ErrorContains(t, err, "does not exist")
	f.update(func() { require.NotNil(t, f.state.Workload.Jobs[job.ID]) })

	_, err = c.SubmitWork(ctx, WorkRequest{ID: "5c0e7a21d94b36f9", Queue: "q", Steps: job.Steps})
	require.NotErrorIs(t, err, ErrUnknownOutcome, "its only attempt was refused")
	require.Equal(t, CodeBadRequest, problemCode(err))
}

// TestRejectedCommandIsSettledByItsResend guards against a rejected command that is reported
// with an unknown outcome because the response to its first attempt was lost.
func TestRejectedCommandIsSettledByItsResend(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	f.applySampleRules(t)
	f.update(func() { f.lostResponses = 1 })
	_, err := f.client(t, testToken).Apply(ctx, 0, sampleRules)
	require.NotErrorIs(t, err, ErrUnknownOutcome)
	require.Equal(t, Code(state.CodeConflict), problemCode(err))
}

// TestInvalidRequestsAreRejected guards against accepting requests that are
// unauthenticated, malformed or above a limit.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	f.applySampleRules(t)
	before := f.executedCount()
	session := `"session":{"client":"c","sequence":1}`
	hash := strings.Repeat("ab", 32)
	for name, c := range map[string]struct {
		method, path, token, media, body string
		status                           int
		code                             Code
	}{
		"no token":       {"GET", "/v1/rules", "", "", "", 401, CodeUnauthenticated},
		"wrong token":    {"GET", "/v1/status", "wrong", "", "", 401, CodeUnauthenticated},
		"unknown call":   {"GET", "/v1/rule", testToken, "", "", 404, CodeNoSuchCall},
		"hidden call":    {"GET", "/v1/rule", "", "", "", 401, CodeUnauthenticated},
		"method":         {"PUT", "/v1/rules", testToken, "", "", 405, CodeMethodNotAllowed},
		"media type":     {"POST", "/v1/keys", testToken, "text/plain", "{}", 415, CodeUnsupportedMediaType},
		"unknown field":  {"POST", "/v1/keys", testToken, "application/json", "{" + session + `,"id":"a","team":"shops","hash":"` + hash + `","tema":1}`, 400, CodeBadRequest},
		"second value":   {"POST", "/v1/keys", testToken, "application/json", "{" + session + `,"id":"a","team":"shops","hash":"` + hash + `"} {}`, 400, CodeBadRequest},
		"no session":     {"POST", "/v1/keys", testToken, "application/json", `{"id":"a","team":"shops","hash":"` + hash + `"}`, 400, CodeBadRequest},
		"no sequence":    {"POST", "/v1/keys", testToken, "application/json", `{"session":{"client":"c"},"id":"a","team":"shops","hash":"` + hash + `"}`, 400, CodeBadRequest},
		"short hash":     {"POST", "/v1/keys", testToken, "application/json", `{"id":"a","team":"shops","hash":"ab"}`, 400, CodeBadRequest},
		"large body":     {"POST", "/v1/rules", testToken, "application/json", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413, CodeTooLarge},
		"bad rules":      {"POST", "/v1/rules", testToken, "application/json", `{` + session + `,"text":"region coast"}`, 422, CodeInvalidRules},
		"unknown team":   {"GET", "/v1/teams/x", testToken, "", "", 404, CodeNotFound},
		"unknown item":   {"GET", "/v1/instances/x", testToken, "", "", 404, CodeNotFound},
		"unknown key":    {"POST", "/v1/keys/x/withdraw", testToken, "application/json", "{" + session + "}", 404, Code(state.CodeNotFound)},
		"unknown action": {"POST", "/v1/waves/x/go", testToken, "application/json", "{" + session + "}", 404, CodeNoSuchCall},
		"page size":      {"GET", "/v1/keys?limit=100000", testToken, "", "", 400, CodeBadRequest},
		"job kind":       {"POST", "/v1/jobs", testToken, "application/json", "{" + session + `,"jobs":[{"id":"a","kind":"x"}]}`, 400, CodeBadRequest},
		"many ids":       {"POST", "/v1/jobs/cancel", testToken, "application/json", "{" + session + `,"ids":[` + strings.Repeat(`"a",`, maxCancel) + `"a"]}`, 400, CodeBadRequest},
		"replica addr":   {"POST", "/v1/replicas", testToken, "application/json", `{"name":"c","addr":"x"}`, 400, CodeBadRequest},
		"no replica":     {"DELETE", "/v1/replicas/x", testToken, "", "", 422, Code(state.CodeInvalid)},
	} {
		t.Run(name, func(t *testing.T) {
			response := send(t, f.address(0), c.method, c.path, c.token, c.media, c.body)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode, string(body))
			require.Contains(t, string(body), `"code":"`+string(c.code)+`"`)
		})
	}
	require.LessOrEqual(t, f.executedCount(), before+1, "only the rejected withdrawal reaches the log")
}

// TestListsArePagedAndComplete guards against items lost between pages and against
// a response that contains the hash or secret of a key.
func TestListsArePagedAndComplete(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	f.applySampleRules(t)
	for i := range maxPage + 10 {
		id := fmt.Sprintf("i-%05d", i)
		f.state.Instances[id] = &state.Instance{ID: id, Pool: "quotes", Condition: state.Active}
	}
	c := f.client(t, testToken)
	instances, err := c.Instances(ctx, "quotes", "")
	require.NoError(t, err)
	require.Len(t, instances, maxPage+10)
	secret := NewSecret()
	_, err = c.GiveKey(ctx, "k1", "shops", secret)
	require.NoError(t, err)
	require.Equal(t, HashSecret(secret), f.state.Keys["k1"].Hash)
	require.Equal(t, "asha", f.state.Keys["k1"].GivenBy)
	team, err := c.Team(ctx, "shops")
	require.NoError(t, err)
	require.Len(t, team.Keys, 1)
	require.Zero(t, team.Keys[0].Hash)
	pools, err := c.Pools(ctx)
	require.NoError(t, err)
	require.Equal(t, map[state.Condition]int{state.Active: maxPage + 10}, pools[1].Conditions)
	_, err = c.Drain(ctx, "i-00003")
	require.NoError(t, err)
	drained, err := c.Instances(ctx, "", state.Draining)
	require.NoError(t, err)
	require.Len(t, drained, 1)
}

// TestExplainFindsFirstVersion guards against attributing a rule to a later version
// than the one that introduced it.
func TestExplainFindsFirstVersion(t *testing.T) {
	f := newFakeCluster(t, 1, Options{})
	c := f.client(t, testToken)
	texts := []string{
		sampleRules,
		strings.Replace(sampleRules, "limit=2", "limit=3", 1),
		strings.Replace(sampleRules, "limit=2", "limit=3", 1) + "spare portal # Asha M., operations: peaks\n",
	}
	for i, text := range texts {
		_, err := c.Apply(ctx, uint64(i), text)
		require.NoError(t, err)
	}
	for name, version := range map[string]uint64{"pool quotes": 1, "shops": 2, "spare": 3} {
		found, err := c.Explain(ctx, name)
		require.NoError(t, err)
		require.EqualValues(t, version, found[0].Since.Version, name)
		require.False(t, found[0].OlderThan)
	}
	diff, err := c.Diff(ctx, 1, 0)
	require.NoError(t, err)
	require.Len(t, diff.Changes, 2)
	_, err = c.Explain(ctx, "nothing")
	require.Equal(t, CodeNotFound, problemCode(err))
}

// send sends one request without following redirects.
func send(t *testing.T, address, method, path, token, media, body string) *http.Response {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	if media != "" {
		r.Header.Set("Content-Type", media)
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}
