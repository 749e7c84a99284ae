package workload

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// slowLink is the rate of a gateway's network link in bytes a second (2 Mbit/s).
const slowLink = 250_000

// randomTopology returns a topology with random names of the length that operators use, and their
// text.
func randomTopology(random *rand.Rand, version uint64, queues int) *Topology {
	word := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.Intn(36)]
		}
		return string(b)
	}
	t := &Topology{Version: version}
	for range 40 {
		t.Teams = append(t.Teams, Team{Name: word(7), Weight: 10, Keys: []KeyHash{HashKey(word(20)), HashKey(word(20))}})
	}
	hosts := []string{word(6) + ".example", word(6) + ".example", word(6) + ".example"}
	pools := []string{word(7), word(7), word(7), word(7)}
	for range queues {
		q := Queue{
			Name: "r-" + word(7), Host: hosts[random.Intn(3)], Prefix: "/" + word(7) + "/" + word(4) + "/", Pool: pools[random.Intn(4)], Priority: random.Intn(3),
			MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond, Timeout: 3 * time.Second, Public: random.Intn(2) == 0,
		}
		t.Queues = append(t.Queues, q)
		t.Document = fmt.Appendf(t.Document, `{"name":%q,"host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":3000,"slo_ms":600,"priority":%d,"service":%q,"max_attempts":3,"stretch":1.6,"public":%t},`,
			q.Name, q.Host, q.Prefix, q.Priority, q.Pool, q.Public)
	}
	return t
}

// with returns a copy of the topology with further queues.
func (t *Topology) with(random *rand.Rand, version uint64, queues int) *Topology {
	next := *t
	next.Version = version
	more := randomTopology(random, version, queues)
	next.Queues = append(append([]Queue{}, t.Queues...), more.Queues...)
	next.Document = append(append([]byte{}, t.Document...), more.Document...)
	return &next
}

// TestLargeTopologyFitsSlowLinks guards against gateways that can't fetch a large configuration, or a
// large change of one, in the time that callers are promised.
func TestLargeTopologyFitsSlowLinks(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	large := randomTopology(random, 1, 10_000)
	whole, err := large.AccessUpdateFrom(nil).Encode()
	require.NoError(t, err)
	require.Less(t, len(whole), slowLink*2, "a restarted gateway has 2 s")

	changed, err := large.with(random, 2, 1400).AccessUpdateFrom(large).Encode()
	require.NoError(t, err)
	require.Less(t, len(changed), slowLink*2, "a change has to be in force within 2 s")
	require.Less(t, len(changed), len(whole)/4, "a change costs what has changed")
	t.Logf("10,000 queues: %d bytes; 1,400 more: %d bytes", len(whole), len(changed))
}

// TestLargeTopologyIsStored guards against a configuration of 10,000 queues that no command holds,
// and against one that is acknowledged in a form that can't be read back.
func TestLargeTopologyIsStored(t *testing.T) {
	large := randomTopology(rand.New(rand.NewSource(1)), 1, 10_000)
	require.NoError(t, large.Pack())
	data, err := msgpack.Marshal(&Command{Topology: large})
	require.NoError(t, err)
	require.Less(t, len(data), MaxTopologyBytes+1000)
	var c Command
	require.NoError(t, msgpack.Unmarshal(data, &c))
	require.Equal(t, large.Queues, c.Topology.Queues)
	require.Equal(t, large.Teams, c.Topology.Teams)
	require.Equal(t, large.Document, c.Topology.Document)
	again, err := msgpack.Marshal(&c)
	require.NoError(t, err)
	require.Equal(t, data, again)
	t.Logf("%d bytes of text, %d bytes stored", len(large.Document), len(data))

	short, err := msgpack.Marshal(large.WithoutDocument())
	require.NoError(t, err)
	var gateways Topology
	require.NoError(t, msgpack.Unmarshal(short, &gateways))
	require.Empty(t, gateways.Document)
	require.Equal(t, large.Queues, gateways.Queues)
}

// TestTooLargeTopologyIsRefused guards against a configuration that is neither refused nor ever
// acknowledged, and that fails the other changes of its command.
func TestTooLargeTopologyIsRefused(t *testing.T) {
	require.ErrorIs(t, randomTopology(rand.New(rand.NewSource(1)), 1, 30_000).Pack(), ErrTopologyTooLarge)
}

// TestManyKeysAreRefused guards against the same for a text below 1 MiB: the hashes of its keys are larger.
func TestManyKeysAreRefused(t *testing.T) {
	many := &Topology{Version: 1, Teams: []Team{{Name: "t"}}}
	for i := range 42_000 {
		key := fmt.Sprintf("%020d", i)
		many.Teams[0].Keys = append(many.Teams[0].Keys, HashKey(key))
		many.Document = fmt.Appendf(many.Document, "%q,", key)
	}
	require.Less(t, len(many.Document), 1<<20)
	require.ErrorIs(t, many.Pack(), ErrTopologyTooLarge)
}

// Topologies that earlier versions have stored must load, and small ones are stored as before.
func TestSmallTopologyIsStoredPlain(t *testing.T) {
	small := randomTopology(rand.New(rand.NewSource(1)), 7, 100)
	require.NoError(t, small.Pack())
	plain, err := msgpack.Marshal((*topologyFields)(small))
	require.NoError(t, err)
	stored, err := msgpack.Marshal(small)
	require.NoError(t, err)
	require.Equal(t, plain, stored)
	var loaded Topology
	require.NoError(t, msgpack.Unmarshal(plain, &loaded))
	require.Equal(t, *small, loaded)
}

// TestAccessUpdatesLeadToTheSameRules guards against a gateway whose rules differ from those of the
// topology after some updates.
func TestAccessUpdatesLeadToTheSameRules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		queue := rapid.Custom(func(r *rapid.T) Queue {
			return Queue{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "host"), Prefix: rapid.SampledFrom([]string{"/", "/x/", "/y/"}).Draw(r, "prefix"), Public: rapid.Bool().Draw(r, "public")}
		})
		var former, held *Topology
		for version := uint64(1); version <= 4; version++ {
			next := &Topology{Version: version, Queues: rapid.SliceOfDistinct(queue, func(q Queue) [2]string { return [2]string{q.Host, q.Prefix} }).Draw(r, "queues")}
			for _, k := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"k", "l", "m"}), rapid.ID).Draw(r, "keys") {
				next.Teams = append(next.Teams, Team{Name: k, Keys: []KeyHash{HashKey(k)}})
			}
			data, err := next.AccessUpdateFrom(former).Encode()
			require.NoError(r, err)
			update, err := DecodeAccessUpdate(data)
			require.NoError(r, err)
			held, err = update.Apply(held)
			require.NoError(r, err)
			held.BuildIndex()
			next.BuildIndex()
			for _, host := range []string{"a", "b", "c"} {
				for _, path := range []string{"/1", "/x/1", "/y/1", "x"} {
					for _, key := range []string{"", "k", "l", "m", "n"} {
						var hash *KeyHash
						if key != "" {
							h := HashKey(key)
							hash = &h
						}
						_, _, _, want := next.Resolve(host, path, hash)
						_, _, _, got := held.Resolve(host, path, hash)
						require.Equal(r, want, got)
					}
				}
			}
			if rapid.Bool().Draw(r, "known") {
				former = next.AccessOnly()
			} else {
				former = nil
			}
		}
	})
}

// An update must not be applied to other rules than those from which it was made.
func TestAccessUpdateNeedsItsBase(t *testing.T) {
	base := &Topology{Version: 1}
	update := (&Topology{Version: 3}).AccessUpdateFrom(base)
	_, err := update.Apply(&Topology{Version: 2})
	require.Error(t, err)
	_, err = update.Apply(nil)
	require.Error(t, err)
}
