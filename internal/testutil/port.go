// Package testutil holds what tests of several packages share.
package testutil

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports below the range that the kernel gives to outgoing connections, so that
// a port that is closed and opened again can't have been taken by one of these.
const (
	firstPort = 10_000
	portCount = 20_000
	// portsPerProcess spreads test processes that run at the same time.
	portsPerProcess = 500
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address that nothing listens on. The caller may
// listen on it later, and again after a restart.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for range portCount {
		n := int64(os.Getpid())*portsPerProcess + nextPort.Add(1)
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
	t.Fatal("no free port")
	return ""
}
