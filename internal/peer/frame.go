// Package peer carries messages between the processes of a cluster. It provides
// msgpack frames over TCP or TLS, a handshake that checks protocol version,
// cluster and certificate, request/response calls, and one-way messages.
package peer

import (
	"bufio"
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

// writeFrame encodes e and writes it as one frame. The caller flushes w.
func writeFrame(w *bufio.Writer, e *envelope) (int, error) {
	data, err := msgpack.Marshal(e)
	if err != nil {
		return 0, errs.New("encode frame: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return 0, errs.New("write frame: %d bytes, at most %d allowed", len(data), MaxFrameBytes)
	}
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(data)))
	if _, err := w.Write(header[:]); err != nil {
		return 0, err
	}
	_, err = w.Write(data)
	return frameHeaderBytes + len(data), err
}

// readFrame reads and decodes one frame.
func readFrame(r io.Reader) (*envelope, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > MaxFrameBytes {
		return nil, 0, &FrameError{fmt.Sprintf("length %d, expected 1 to %d", n, MaxFrameBytes)}
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, err
	}
	if err := checkStructure(data); err != nil {
		return nil, 0, err
	}
	e := new(envelope)
	if err := msgpack.Unmarshal(data, e); err != nil {
		return nil, 0, &FrameError{fmt.Sprintf("content: %v", err)}
	}
	if e.Kind < kindHello || e.Kind > kindOneWay {
		return nil, 0, &FrameError{fmt.Sprintf("kind %d, expected %d to %d", e.Kind, kindHello, kindOneWay)}
	}
	return e, frameHeaderBytes + int(n), nil
}

// FrameError reports a malformed frame or message body.
type FrameError struct{ Text string }

// Error implements error.
func (e *FrameError) Error() string { return "malformed frame: " + e.Text }
