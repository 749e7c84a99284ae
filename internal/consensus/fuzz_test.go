package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/peer"
)

// Guards against messages from a faulty peer that make a replica panic, in any
// role. Violated invariants are reported as errors.
func FuzzStep(f *testing.F) {
	for kind := MsgPreVote; kind <= MsgTimeoutNow; kind++ {
		m := Message{Kind: kind, From: 2, To: 1, Epoch: firstEpoch, Term: 2, PrevIndex: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}
		m.Chunk = &SnapshotChunk{Index: 9, Term: 1, Membership: Membership{Epoch: firstEpoch, Members: voters(3)}, Total: 2, Data: []byte("xx")}
		data, err := msgpack.Marshal(&m)
		require.NoError(f, err)
		f.Add(data, data, uint8(kind))
	}
	f.Fuzz(func(t *testing.T, first, second []byte, role uint8) {
		c := newGroup(t, 3).cores[1]
		switch role % 4 {
		case 1:
			c.preCampaign()
		case 2:
			c.campaign(false)
		case 3:
			c.campaign(false)
			c.becomeLeader()
		}
		for _, data := range [][]byte{first, second, first} {
			var m Message
			if peer.Decode(data, &m) != nil {
				return
			}
			m.To, m.Epoch = 1, firstEpoch
			_ = c.Step(m)
			for c.HasReady() {
				c.Ready()
				c.Advance()
			}
			c.Tick()
		}
	})
}
