package relay

import (
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
)

// Calls and results have codecs of their own, because a leader encodes or decodes some for each
// run. The format is that of the tags of their fields.
var (
	_ msgpack.CustomEncoder = (*Call)(nil)
	_ msgpack.CustomDecoder = (*Call)(nil)
	_ msgpack.CustomEncoder = (*Result)(nil)
	_ msgpack.CustomDecoder = (*Result)(nil)
)

// mapEncoder writes the fields of a map and keeps the first error.
type mapEncoder struct {
	e   *msgpack.Encoder
	err error
}

func (m *mapEncoder) key(name string) bool {
	if m.err == nil {
		m.err = m.e.EncodeString(name)
	}
	return m.err == nil
}

func (m *mapEncoder) int(name string, v int64) {
	if m.key(name) {
		m.err = m.e.EncodeInt(v)
	}
}

func (m *mapEncoder) uint(name string, v uint64) {
	if m.key(name) {
		m.err = m.e.EncodeUint(v)
	}
}

func (m *mapEncoder) string(name, v string) {
	if m.key(name) {
		m.err = m.e.EncodeString(v)
	}
}

func (m *mapEncoder) value(name string, encode func() error) {
	if m.key(name) {
		m.err = encode()
	}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c *Call) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := 4
	for _, set := range []bool{c.Start != nil, c.Stop != nil, c.Pace != nil, c.Poll != nil, c.EndsOnly} {
		if set {
			fields++
		}
	}
	m := mapEncoder{e: e, err: e.EncodeMapLen(fields)}
	m.uint("i", c.ID)
	m.value("w", func() error {
		target := mapEncoder{e: e, err: e.EncodeMapLen(2)}
		target.string("i", c.Target.ID)
		target.string("a", c.Target.Address)
		return target.err
	})
	m.int("u", int64(c.BeginBy))
	m.int("d", int64(c.EndBy))
	if c.Start != nil {
		m.value("s", func() error { return encodeStart(e, c.Start) })
	}
	if c.Stop != nil {
		m.value("e", func() error { return e.Encode(c.Stop) })
	}
	if c.Pace != nil {
		m.value("p", func() error { return e.Encode(c.Pace) })
	}
	if c.Poll != nil {
		m.value("h", func() error {
			poll := mapEncoder{e: e, err: e.EncodeMapLen(4)}
			poll.int("l", int64(c.Poll.Lease))
			poll.uint("f", c.Poll.Fence)
			poll.uint("a", c.Poll.Acknowledged)
			poll.int("w", int64(c.Poll.Wait))
			return poll.err
		})
	}
	if c.EndsOnly {
		m.value("n", func() error { return e.EncodeBool(true) })
	}
	return m.err
}

func encodeStart(e *msgpack.Encoder, s *executor.Start) error {
	fields := 5
	if s.Checkpoint != "" {
		fields++
	}
	if s.Ticket != "" {
		fields++
	}
	m := mapEncoder{e: e, err: e.EncodeMapLen(fields)}
	m.value("t", func() error { return s.Task.EncodeMsgpack(e) })
	m.int("r", int64(s.Run))
	m.string("s", s.Spec)
	m.int("l", int64(s.Lease))
	m.uint("f", s.Fence)
	if s.Checkpoint != "" {
		m.string("c", s.Checkpoint)
	}
	if s.Ticket != "" {
		m.string("k", s.Ticket)
	}
	return m.err
}

// decodeMap decodes a map by calling field with the name of each of its fields. field returns
// false for one that it does not know, which is skipped.
func decodeMap(d *msgpack.Decoder, field func(name string) (bool, error)) error {
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		known, err := field(name)
		if err == nil && !known {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Call) DecodeMsgpack(d *msgpack.Decoder) error {
	*c = Call{}
	return decodeMap(d, func(name string) (known bool, err error) {
		switch name {
		case "i":
			c.ID, err = d.DecodeUint64()
		case "w":
			err = d.Decode(&c.Target)
		case "u":
			c.BeginBy, err = decodeInstant(d)
		case "d":
			c.EndBy, err = decodeInstant(d)
		case "s":
			err = d.Decode(&c.Start)
		case "e":
			err = d.Decode(&c.Stop)
		case "p":
			err = d.Decode(&c.Pace)
		case "h":
			err = d.Decode(&c.Poll)
		case "n":
			c.EndsOnly, err = d.DecodeBool()
		default:
			return false, nil
		}
		return true, err
	})
}

func decodeInstant(d *msgpack.Decoder) (boottime.Instant, error) {
	v, err := d.DecodeInt64()
	return boottime.Instant(v), err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *Result) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := 2
	for _, set := range []bool{r.Refused != nil, r.Failure != "", r.Disconnected, r.Clock != 0, r.Poll != nil} {
		if set {
			fields++
		}
	}
	m := mapEncoder{e: e, err: e.EncodeMapLen(fields)}
	m.uint("i", r.ID)
	if r.Refused != nil {
		m.value("r", func() error { return e.Encode(r.Refused) })
	}
	if r.Failure != "" {
		m.string("f", r.Failure)
	}
	if r.Disconnected {
		m.value("x", func() error { return e.EncodeBool(true) })
	}
	if r.Clock != 0 {
		m.int("k", r.Clock)
	}
	if r.Poll != nil {
		m.value("p", func() error { return e.Encode(r.Poll) })
	}
	m.int("a", int64(r.ReceivedAt))
	return m.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Result) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Result{}
	return decodeMap(d, func(name string) (known bool, err error) {
		switch name {
		case "i":
			r.ID, err = d.DecodeUint64()
		case "r":
			err = d.Decode(&r.Refused)
		case "f":
			r.Failure, err = d.DecodeString()
		case "x":
			r.Disconnected, err = d.DecodeBool()
		case "k":
			r.Clock, err = d.DecodeInt64()
		case "p":
			r.Poll = &executor.PollResponse{}
			err = decodePoll(d, r.Poll)
		case "a":
			r.ReceivedAt, err = decodeInstant(d)
		default:
			return false, nil
		}
		return true, err
	})
}

func decodePoll(d *msgpack.Decoder, p *executor.PollResponse) error {
	return decodeMap(d, func(name string) (known bool, err error) {
		switch name {
		case "k":
			p.Clock, err = d.DecodeInt64()
		case "b":
			p.Incarnation, err = d.DecodeInt64()
		case "r":
			err = d.Decode(&p.Running)
		case "e":
			err = d.Decode(&p.Ended)
		case "c":
			p.Complete, err = d.DecodeBool()
		default:
			return false, nil
		}
		return true, err
	})
}
