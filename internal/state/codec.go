package state

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"cactusspar/internal/rules"
)

// EncodeCommand encodes a command for the log.
func EncodeCommand(c *Command) ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, errs.New("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return c, errs.New("decode command: %w", err)
	}
	return c, nil
}

// snapshotVersion is the format version in the first field of an encoded
// snapshot. Restore returns an error for any other version.
const snapshotVersion = 1

type snapshot struct {
	Version int    `msgpack:"v"`
	State   *State `msgpack:"s"`
}

// Encode returns the snapshot encoding of the replicated state.
func (s *State) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(snapshot{snapshotVersion, s})
	if err != nil {
		return nil, errs.New("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore decodes a snapshot written by Encode and rebuilds the derived fields
// that it doesn't hold.
func Restore(data []byte) (*State, error) {
	in := snapshot{State: New()}
	if err := msgpack.Unmarshal(data, &in); err != nil {
		return nil, errs.New("decode snapshot: %w", err)
	}
	if in.Version != snapshotVersion {
		return nil, errs.New("decode snapshot: version %d, expected %d", in.Version, snapshotVersion)
	}
	s := in.State
	s.Clock = s.Clock.UTC()
	if s.Config.Version > 0 {
		parsed, err := rules.Parse("rules", []byte(s.Config.Text))
		if err != nil {
			return nil, errs.New("decode snapshot: rules version %d: %w", s.Config.Version, err)
		}
		s.rules = parsed
	}
	for _, g := range s.Grants {
		s.heldByTeam[g.Team] += g.Held
	}
	for _, j := range s.Jobs {
		s.countJob(j, 1)
	}
	for _, t := range s.Tasks {
		s.countTask(t, 1)
	}
	s.Workload.BuildIndex()
	s.recentChanges.baseIndex = s.Index
	return s, nil
}
