// Package testutil holds what tests of several packages share.
package testutil

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports below the range that the kernel gives to outgoing connections, so that
// a port that is closed and opened again can't have been taken by one of these.
const (
	firstPort     = 10_000
	portCount     = 20_000
	portsPerBlock = 250
	blockCount    = portCount / portsPerBlock
)

// ports is the block of ports that belongs to this process. The process listens
// on the first one as long as it lives, so that no other test process takes the
// block: an address that is closed and opened again stays free in between.
var ports struct {
	mu    sync.Mutex
	claim net.Listener
	first int
	next  int
}

// FreeAddr returns a loopback address that nothing listens on. The caller may
// listen on it later, and again after a restart.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := draw(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// draw returns an address of this process's block, which it claims first.
func draw(preferred int) (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.claim == nil && !claimBlock(preferred) {
		return "", errors.New("no free block of ports")
	}
	for range portsPerBlock {
		ports.next = ports.next%(portsPerBlock-1) + 1
		addr := loopback(ports.first + ports.next)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", errors.New("no free port in the block of this process")
}

// claimBlock takes the first block, from a preferred one on, that no other
// process holds.
func claimBlock(preferred int) bool {
	for i := range blockCount {
		first := firstPort + (preferred+i)%blockCount*portsPerBlock
		if ln, err := net.Listen("tcp", loopback(first)); err == nil {
			ports.claim, ports.first = ln, first
			return true
		}
	}
	return false
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
