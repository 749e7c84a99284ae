// Package peer carries messages between the processes of a cluster. It provides
// msgpack frames over TCP or TLS, a handshake that checks protocol version,
// cluster and certificate, request/response calls, and one-way messages.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Version is the protocol version. A peer with another version is rejected in
// the handshake.
const Version = 1

// MaxFrameBytes limits the size of a frame. A longer frame is rejected before its
// content is read.
const MaxFrameBytes = 4 << 20

const frameHeaderBytes = 4

type messageKind uint8

const (
	kindHello messageKind = iota + 1
	kindRequest
	kindResponse
	kindError
	kindOneWay
)

// envelope is the content of a frame. ID matches a response to its request.
type envelope struct {
	Kind   messageKind        `msgpack:"k"`
	ID     uint64             `msgpack:"i,omitempty"`
	Method string             `msgpack:"m,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`

	flushed chan struct{} // if not nil, is closed once the frame has been written
}

// writeFrame encodes e and writes it as one frame. The caller flushes w. The body is encoded
// already and written as it is.
func writeFrame(w *bufio.Writer, e *envelope) (int, error) {
	if len(e.Method) > maxMethodBytes {
		return 0, errs.New("write frame: method of %d bytes, at most %d allowed", len(e.Method), maxMethodBytes)
	}
	head := appendEnvelope(make([]byte, frameHeaderBytes, 64), e)
	n := len(head) - frameHeaderBytes + len(e.Body)
	if n > MaxFrameBytes {
		return 0, errs.New("write frame: %d bytes, at most %d allowed", n, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(head, uint32(n))
	if _, err := w.Write(head); err != nil {
		return 0, err
	}
	_, err := w.Write(e.Body)
	return frameHeaderBytes + n, err
}

// maxMethodBytes is the longest method that appendEnvelope encodes.
const maxMethodBytes = 255

// appendEnvelope appends the encoding of an envelope up to its body, which comes last.
func appendEnvelope(b []byte, e *envelope) []byte {
	fields := byte(1)
	for _, set := range []bool{e.ID != 0, e.Method != "", len(e.Body) > 0} {
		if set {
			fields++
		}
	}
	b = append(b, 0x80|fields, 0xa1, 'k', byte(e.Kind))
	if e.ID != 0 {
		b = append(b, 0xa1, 'i', 0xcf)
		b = binary.BigEndian.AppendUint64(b, e.ID)
	}
	if e.Method != "" {
		b = append(b, 0xa1, 'm', 0xd9, byte(len(e.Method)))
		b = append(b, e.Method...)
	}
	if len(e.Body) > 0 {
		b = append(b, 0xa1, 'b')
	}
	return b
}

// readFrame reads and decodes one frame of at most limit bytes.
func readFrame(r io.Reader, limit uint32) (*envelope, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > limit {
		return nil, 0, &FrameError{fmt.Sprintf("length %d, expected 1 to %d", n, limit)}
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, err
	}
	if err := checkStructure(data); err != nil {
		return nil, 0, err
	}
	e, err := decodeEnvelope(data)
	if err != nil {
		return nil, 0, &FrameError{fmt.Sprintf("content: %v", err)}
	}
	if e.Kind < kindHello || e.Kind > kindOneWay {
		return nil, 0, &FrameError{fmt.Sprintf("kind %d, expected %d to %d", e.Kind, kindHello, kindOneWay)}
	}
	return e, frameHeaderBytes + int(n), nil
}

// decodeEnvelope decodes an envelope of which the structure has been checked. A body that comes
// last, as all processes write it, is taken as it is: walking over it took a twentieth of a
// leader's processor time.
func decodeEnvelope(data []byte) (*envelope, error) {
	r := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	e := new(envelope)
	n, err := d.DecodeMapLen()
	for i := 0; i < n && err == nil; i++ {
		var key string
		if key, err = d.DecodeString(); err != nil {
			break
		}
		switch key {
		case "k":
			var kind uint8
			kind, err = d.DecodeUint8()
			e.Kind = messageKind(kind)
		case "i":
			e.ID, err = d.DecodeUint64()
		case "m":
			e.Method, err = d.DecodeString()
		case "b":
			if i == n-1 {
				e.Body = data[len(data)-r.Len():]
				return e, nil
			}
			e.Body, err = d.DecodeRaw()
		default:
			err = d.Skip()
		}
	}
	return e, err
}

// FrameError reports a malformed frame or message body.
type FrameError struct{ Text string }

// Error implements error.
func (e *FrameError) Error() string { return "malformed frame: " + e.Text }
