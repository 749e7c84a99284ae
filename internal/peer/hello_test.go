package peer

import (
	"bufio"
	"encoding/binary"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that holds a frame of the largest size for a peer that has not shown
// its identity: such a frame is refused by its length.
func TestLargeFrameBeforeTheIdentityIsRefused(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	go func() {
		_, _, _ = readFrame(far, maxHelloBytes)
		_, _ = far.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes))
	}()
	_, err := handshake(near, bufio.NewReader(near), bufio.NewWriter(near), Identity{Cluster: "c", Role: RoleControl, ID: "a"})
	var malformed *FrameError
	require.ErrorAs(t, err, &malformed)
}
