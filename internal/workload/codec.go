package workload

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// The types below are encoded several times for each run: in the log, in messages to the other
// replicas and in workers' lists. Reflection took a quarter of a leader's processor time, so they
// have codecs of their own. The format is that of the tag "as_array", in which entries of earlier
// versions are stored.

var (
	_ msgpack.CustomEncoder = (*TaskID)(nil)
	_ msgpack.CustomDecoder = (*TaskID)(nil)
	_ msgpack.CustomEncoder = (*RunStart)(nil)
	_ msgpack.CustomDecoder = (*RunStart)(nil)
	_ msgpack.CustomEncoder = (*RunEnd)(nil)
	_ msgpack.CustomDecoder = (*RunEnd)(nil)
	_ msgpack.CustomDecoder = (*Crash)(nil)
	_ msgpack.CustomDecoder = (*WorkerCrash)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t *TaskID) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.Join(e.EncodeArrayLen(4), e.EncodeString(t.Job), e.EncodeInt(int64(t.Occurrence)), e.EncodeInt(int64(t.Step)), e.EncodeInt(int64(t.Index)))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *TaskID) DecodeMsgpack(d *msgpack.Decoder) error {
	*t = TaskID{}
	return DecodeArray(d,
		func() (err error) { t.Job, err = d.DecodeString(); return err },
		func() (err error) { t.Occurrence, err = d.DecodeInt(); return err },
		func() (err error) { t.Step, err = d.DecodeInt(); return err },
		func() (err error) { t.Index, err = d.DecodeInt(); return err },
	)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *RunStart) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.Join(e.EncodeArrayLen(4), s.Task.EncodeMsgpack(e), e.EncodeInt(int64(s.Run)), e.EncodeString(s.Worker), e.EncodeInt(s.Incarnation))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *RunStart) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = RunStart{}
	return DecodeArray(d,
		func() error { return s.Task.DecodeMsgpack(d) },
		func() (err error) { s.Run, err = d.DecodeInt(); return err },
		func() (err error) { s.Worker, err = d.DecodeString(); return err },
		func() (err error) { s.Incarnation, err = d.DecodeInt64(); return err },
	)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *RunEnd) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.Join(e.EncodeArrayLen(7), e.EncodeString(r.Worker), e.EncodeInt(r.Incarnation), e.EncodeUint(r.Sequence), r.Task.EncodeMsgpack(e),
		e.EncodeInt(int64(r.Run)), e.EncodeString(string(r.Outcome)), e.EncodeString(r.Checkpoint))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *RunEnd) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = RunEnd{}
	return DecodeArray(d,
		func() (err error) { r.Worker, err = d.DecodeString(); return err },
		func() (err error) { r.Incarnation, err = d.DecodeInt64(); return err },
		func() (err error) { r.Sequence, err = d.DecodeUint64(); return err },
		func() error { return r.Task.DecodeMsgpack(d) },
		func() (err error) { r.Run, err = d.DecodeInt(); return err },
		func() error {
			name, err := d.DecodeString()
			r.Outcome = Outcome(name)
			return err
		},
		func() (err error) { r.Checkpoint, err = d.DecodeString(); return err },
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Records of earlier versions end before Presumed.
func (c *Crash) DecodeMsgpack(d *msgpack.Decoder) error {
	*c = Crash{}
	return decodeElements(d, &c.Worker, &c.Incarnation, &c.Instance, &c.Ran, &c.Alone, &c.Uncertain, &c.Unconfirmed, &c.Presumed)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Records of earlier versions end before Presumed.
func (c *WorkerCrash) DecodeMsgpack(d *msgpack.Decoder) error {
	*c = WorkerCrash{}
	return decodeElements(d, &c.Worker, &c.Incarnation, &c.Instance, &c.Suspects, &c.Ran, &c.Uncertain, &c.Unconfirmed, &c.Presumed)
}

// decodeElements decodes the elements of an array into the given values, as DecodeArray does.
func decodeElements(d *msgpack.Decoder, values ...any) error {
	elements := make([]func() error, 0, len(values))
	for _, v := range values {
		elements = append(elements, func() error { return d.Decode(v) })
	}
	return DecodeArray(d, elements...)
}

// DecodeArray decodes the elements of an array with the given functions. Missing elements are
// left as they are, and further ones are skipped, as later versions may add some.
func DecodeArray(d *msgpack.Decoder, elements ...func() error) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(elements) {
			err = elements[i]()
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
