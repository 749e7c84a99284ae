package executor

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/workload"
)

// Running has a codec of its own because a worker's list has a row for each of its runs. The
// format is that of the tag "as_array".
var (
	_ msgpack.CustomEncoder = (*Running)(nil)
	_ msgpack.CustomDecoder = (*Running)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *Running) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.Join(e.EncodeArrayLen(5), r.Task.EncodeMsgpack(e), e.EncodeInt(int64(r.Run)), e.EncodeString(r.Checkpoint), e.EncodeInt(int64(r.Percent)), e.EncodeInt(r.Load))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Running) DecodeMsgpack(d *msgpack.Decoder) error {
	*r = Running{}
	return workload.DecodeArray(d,
		func() error { return r.Task.DecodeMsgpack(d) },
		func() (err error) { r.Run, err = d.DecodeInt(); return err },
		func() (err error) { r.Checkpoint, err = d.DecodeString(); return err },
		func() (err error) { r.Percent, err = d.DecodeInt(); return err },
		func() (err error) { r.Load, err = d.DecodeInt64(); return err },
	)
}
