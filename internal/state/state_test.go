package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testRules = `region coast # Asha: our region
datacentre d1 region=coast # Asha: hall A
pool a min=1 max=9 unavailable=1 period=35d # Asha: first
pool b min=1 max=9 unavailable=1 period=35d # Asha: second
team x share=1 limit=%d # Juma: contract
team y share=1 limit=5 # Juma: contract
spare a # Asha: lends
`

// stateMachine is a State with a clock that advances by one second per command.
type stateMachine struct {
	*State
	now time.Time
}

func newStateMachine(t *testing.T) *stateMachine {
	t.Helper()
	m := &stateMachine{New(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Text: fmt.Sprintf(testRules, 10), Author: "asha"}}).Err)
	for _, id := range []string{"e1", "e2", "e3"} {
		require.Nil(t, m.do(Command{RegisterEntry: &RegisterEntry{Entry{ID: id, Incarnation: 1}}}).Err)
	}
	return m
}

func (m *stateMachine) do(c Command) Result {
	m.now = m.now.Add(time.Second)
	c.Time = m.now
	return m.Apply(m.Index+1, c)
}

func (m *stateMachine) assign(pool, dispatcher, backup string, epoch uint64) *Error {
	return m.do(Command{AssignPools: &AssignPools{[]Assignment{{Pool: pool, Dispatcher: dispatcher, Backup: backup, Epoch: epoch}}}}).Err
}

func (m *stateMachine) grant(grants ...Grant) *Error {
	return m.do(Command{SetGrants: &SetGrants{grants}}).Err
}

func code(e *Error) Code {
	if e == nil {
		return ""
	}
	return e.Code
}

// TestApplyRulesConflictNamesAuthor guards against two operators who both replace
// the same version of the rules, against a conflict that doesn't name the author
// of the version in force, and against a history without bound.
func TestApplyRulesConflictNamesAuthor(t *testing.T) {
	m := newStateMachine(t)
	text := fmt.Sprintf(testRules, 11)
	require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Expected: 1, Text: text, Author: "first"}}).Err)
	err := m.do(Command{ApplyRules: &ApplyRules{Expected: 1, Text: text, Author: "second"}}).Err
	require.Equal(t, CodeConflict, code(err))
	require.Contains(t, err.Text, "first")
	require.EqualValues(t, 2, m.Config.Version)
	require.Equal(t, text, m.Config.Text)
	err = m.do(Command{ApplyRules: &ApplyRules{Expected: 2, Text: "pool a min=1", Author: "third"}}).Err
	require.Equal(t, CodeInvalid, code(err))
	require.EqualValues(t, 2, m.Config.Version)
	for n := uint64(2); n < maxHistory+20; n++ {
		require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Expected: n, Text: text}}).Err)
	}
	require.Len(t, m.History, maxHistory)
	require.Equal(t, m.Config.Version-1, m.History[maxHistory-1].Version)
}

// TestResentCommandReturnsFirstResult guards against a resent command that is
// executed twice, and against stored results and sessions without bound.
func TestResentCommandReturnsFirstResult(t *testing.T) {
	m := newStateMachine(t)
	give := func(client string, sequence uint64) Result {
		return m.do(Command{
			Session: Session{client, sequence},
			GiveKey: &GiveKey{ID: fmt.Sprintf("%s-%d", client, sequence), Team: "x", Hash: [32]byte{1}},
		})
	}
	first := give("op", 1)
	require.Nil(t, first.Err)
	require.Equal(t, first, give("op", 1))
	for n := uint64(2); n <= 2+maxResultsPerClient; n++ {
		require.Nil(t, give("op", n).Err)
	}
	require.Equal(t, CodeStale, code(give("op", 1).Err))
	require.LessOrEqual(t, len(m.Sessions["op"].Results), maxResultsPerClient)
	for n := range maxClientSessions {
		give(fmt.Sprintf("c%d", n), 1)
	}
	require.Len(t, m.Sessions, maxClientSessions)
	require.NotContains(t, m.Sessions, "op")
}

// TestWithdrawnKeyStaysWithdrawn guards against a withdrawn key that becomes valid
// again when it is given once more, and against a second withdrawal that
// overwrites the first.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	m := newStateMachine(t)
	give := Command{GiveKey: &GiveKey{ID: "k", Team: "x", Hash: [32]byte{1}}}
	require.Nil(t, m.do(give).Err)
	require.Nil(t, m.do(Command{WithdrawKey: &WithdrawKey{ID: "k", By: "asha"}}).Err)
	at := m.Keys["k"].WithdrawnAt
	require.False(t, at.IsZero())
	require.Equal(t, CodeConflict, code(m.do(give).Err))
	require.Nil(t, m.do(Command{WithdrawKey: &WithdrawKey{ID: "k", By: "juma"}}).Err)
	require.Equal(t, at, m.Keys["k"].WithdrawnAt)
	require.Equal(t, "asha", m.Keys["k"].WithdrawnBy)
}

// TestClockIsMonotonic guards against a state clock that goes back when a leader
// whose clock is behind takes over.
func TestClockIsMonotonic(t *testing.T) {
	m := newStateMachine(t)
	before := m.Clock
	m.Apply(m.Index+1, Command{Time: before.Add(-time.Hour), WithdrawKey: &WithdrawKey{ID: "none"}})
	require.Equal(t, before, m.Clock)
}

// TestAssignments guards against an assignment with a wrong epoch, to an unknown
// entry instance or of an unknown pool, and against lost idempotency records that
// are treated as complete.
func TestAssignments(t *testing.T) {
	m := newStateMachine(t)
	require.Equal(t, CodeStale, code(m.assign("a", "e1", "e2", 2)))
	require.Equal(t, CodeNotFound, code(m.assign("a", "e9", "e2", 1)))
	require.Equal(t, CodeNotFound, code(m.assign("none", "e1", "e2", 1)))
	require.Nil(t, m.assign("a", "e1", "e2", 1))
	require.False(t, m.Assignments["a"].Orphaned)
	require.Equal(t, CodeStale, code(m.assign("a", "e2", "e1", 1)))

	// The dispatcher restarts: its backup still holds the records.
	require.Nil(t, m.do(Command{RegisterEntry: &RegisterEntry{Entry{ID: "e1", Incarnation: 2}}}).Err)
	require.Nil(t, m.assign("a", "e2", "e1", 2))
	require.False(t, m.Assignments["a"].Orphaned)
	require.Equal(t, "e1", m.Assignments["a"].Previous)

	// Both restart: the records are lost, and the pool is orphaned until they would
	// have expired.
	for _, id := range []string{"e1", "e2"} {
		require.Nil(t, m.do(Command{RegisterEntry: &RegisterEntry{Entry{ID: id, Incarnation: 3}}}).Err)
	}
	require.Nil(t, m.assign("a", "e3", "", 3))
	require.True(t, m.Assignments["a"].Orphaned)
	require.Nil(t, m.assign("a", "e1", "", 4))
	require.True(t, m.Assignments["a"].Orphaned, "records lost two epochs ago have not ended yet")
	m.now = m.now.Add(recordLifetime)
	require.Nil(t, m.assign("a", "e2", "", 5))
	require.False(t, m.Assignments["a"].Orphaned)
}

// TestGrants guards against grants above the limit of a team, and against the
// increase of a grant of a former dispatcher.
func TestGrants(t *testing.T) {
	m := newStateMachine(t)
	require.Nil(t, m.assign("a", "e1", "e2", 1))
	require.Nil(t, m.assign("b", "e2", "e1", 1))
	require.Nil(t, m.grant(Grant{Team: "x", Pool: "a", Epoch: 1, Amount: 6, Held: 6}, Grant{Team: "x", Pool: "b", Epoch: 1, Amount: 4, Held: 4}))
	require.Equal(t, CodeInvariant, code(m.grant(Grant{Team: "x", Pool: "b", Epoch: 1, Amount: 5, Held: 5})))
	require.EqualValues(t, 1, m.Violations)
	require.Equal(t, CodeInvalid, code(m.grant(Grant{Team: "x", Pool: "b", Epoch: 1, Amount: 4, Held: 3})))

	require.EqualValues(t, 1, m.Grants["x/a/1"].Incarnation)
	require.Equal(t, "e1", m.Grants["x/a/1"].Holder)

	// When the limit is below what is held, only reductions are accepted.
	require.Nil(t, m.do(Command{ApplyRules: &ApplyRules{Expected: 1, Text: fmt.Sprintf(testRules, 3)}}).Err)
	require.Nil(t, m.grant(Grant{Team: "x", Pool: "a", Epoch: 1, Amount: 0, Held: 5}))
	require.Equal(t, CodeInvariant, code(m.grant(Grant{Team: "x", Pool: "a", Epoch: 1, Amount: 0, Held: 0}, Grant{Team: "x", Pool: "b", Epoch: 1, Amount: 5, Held: 5})))

	// After a change of dispatcher the old grant still counts, and only grants of
	// the new epoch can be raised.
	require.Nil(t, m.assign("a", "e3", "e2", 2))
	require.Equal(t, 9, m.HeldBy("x"))
	require.Equal(t, CodeStale, code(m.grant(Grant{Team: "y", Pool: "a", Epoch: 1, Amount: 1, Held: 1})))
	require.Nil(t, m.grant(Grant{Team: "x", Pool: "a", Epoch: 1}))
	require.Equal(t, 4, m.HeldBy("x"))

	// A new epoch of the same dispatcher starts without grants, because its work
	// in progress still counts under the old epoch.
	require.Nil(t, m.assign("b", "e2", "e3", 2))
	require.Equal(t, 4, m.HeldBy("x"))
	require.Nil(t, m.grant(Grant{Team: "x", Pool: "b", Epoch: 1, Amount: 1, Held: 1}, Grant{Team: "x", Pool: "b", Epoch: 2, Amount: 2, Held: 2}))
	require.Equal(t, 3, m.HeldBy("x"))
	require.Nil(t, m.checkHeldSums())
}

// TestInstances guards against a move or drain that was planned from an outdated
// state, against an announcement that changes the pool of a known instance, and
// against changes beyond the pool's minimum or budget.
func TestInstances(t *testing.T) {
	m := newStateMachine(t)
	require.Nil(t, m.do(Command{UpsertInstances: &UpsertInstances{[]Instance{{ID: "i", Pool: "a"}, {ID: "j", Pool: "a"}, {ID: "l", Pool: "b"}}}}).Err)
	require.Equal(t, CodeNotFound, code(m.do(Command{UpsertInstances: &UpsertInstances{[]Instance{{ID: "k", Pool: "none"}}}}).Err))
	move := Command{MoveInstance: &MoveInstance{ID: "i", From: "a", To: "b", Epoch: 1}}
	require.Nil(t, m.do(move).Err)
	require.Equal(t, CodeStale, code(m.do(move).Err))
	require.Equal(t, "a", m.Instances["i"].HomePool)
	require.Equal(t, CodeBudget, code(m.do(Command{MoveInstance: &MoveInstance{ID: "j", From: "a", To: "b", Epoch: 1}}).Err), "pool a would be below its minimum")
	require.Nil(t, m.do(Command{MoveInstance: &MoveInstance{ID: "i", From: "b", To: "a", Epoch: 2}}).Err)
	require.Equal(t, CodeStale, code(m.do(move).Err), "the pool is the stated one again, the epoch is not")
	move.MoveInstance.Epoch = 3
	require.Nil(t, m.do(move).Err)
	require.Nil(t, m.do(Command{UpsertInstances: &UpsertInstances{[]Instance{{ID: "i", Pool: "a", Slots: 8}}}}).Err)
	require.Equal(t, "b", m.Instances["i"].Pool)
	require.Equal(t, 8, m.Instances["i"].Slots)

	require.Nil(t, m.do(Command{SetCondition: &SetCondition{ID: "j", From: Active, To: Draining}}).Err)
	require.Equal(t, CodeStale, code(m.do(Command{SetCondition: &SetCondition{ID: "j", From: Active, To: Draining}}).Err))
	require.Nil(t, m.do(Command{UpsertInstances: &UpsertInstances{[]Instance{{ID: "k", Pool: "a"}}}}).Err)
	require.Equal(t, CodeBudget, code(m.do(Command{SetCondition: &SetCondition{ID: "k", From: Active, To: Draining}}).Err))
}

// TestMalformedCommands guards against commands with no kind or with two, and
// against a log entry that is applied twice.
func TestMalformedCommands(t *testing.T) {
	m := newStateMachine(t)
	require.Equal(t, CodeInvalid, code(m.do(Command{}).Err))
	require.Equal(t, CodeInvalid, code(m.do(Command{WithdrawKey: &WithdrawKey{}, ExpireEntry: &ExpireEntry{}}).Err))
	require.Equal(t, CodeStale, code(m.Apply(m.Index, Command{}).Err))
}

// FuzzDecodeCommand guards against a panic when corrupted bytes are decoded or
// when the decoded command is applied.
func FuzzDecodeCommand(f *testing.F) {
	data, err := EncodeCommand(&Command{GiveKey: &GiveKey{ID: "k"}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if c, err := DecodeCommand(data); err == nil {
			New().Apply(1, c)
		}
	})
}

// TestAssignmentNamesTheFirstUninterruptedEpoch guards against a dispatcher that
// is credited with epochs that were assigned to another instance or to an earlier
// incarnation of itself.
func TestAssignmentNamesTheFirstUninterruptedEpoch(t *testing.T) {
	m := newStateMachine(t)
	since := func() uint64 { return m.Assignments["a"].Since }
	require.Nil(t, m.assign("a", "e1", "", 1))
	require.Nil(t, m.assign("a", "e1", "e2", 2))
	require.EqualValues(t, 1, since())
	require.Nil(t, m.assign("a", "e2", "e1", 3))
	require.EqualValues(t, 3, since())
	require.Nil(t, m.do(Command{RegisterEntry: &RegisterEntry{Entry{ID: "e2", Incarnation: 2}}}).Err)
	require.Nil(t, m.assign("a", "e2", "e1", 4))
	require.EqualValues(t, 4, since())
}
