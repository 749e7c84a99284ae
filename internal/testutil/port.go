// Package testutil provides helpers shared by the tests of several packages.
package testutil

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports lie below the kernel's ephemeral range, so that no outgoing connection
// takes a port between the time it is closed and opened again.
const (
	firstPort     = 10_000
	portCount     = 20_000
	portsPerBlock = 250
	blockCount    = portCount / portsPerBlock
)

// ports is the block of ports reserved by this process. The process listens on the
// first port of the block until it exits, so that no other test process uses the
// block: a port that is closed and opened again stays free in between.
var ports struct {
	mu    sync.Mutex
	claim net.Listener
	first int
	next  int
}

// FreeAddr returns a loopback address on which no socket listens. The caller may
// listen on it later, and again after closing it.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := allocate(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// allocate returns an address from this process's block of ports. The first call
// claims the block, starting the search at the preferred one.
func allocate(preferred int) (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.claim == nil && !claimBlock(preferred) {
		return "", errors.New("no free block of test ports")
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
	return "", errors.New("no free port in this process's block")
}

// claimBlock claims the first block that no other process has claimed, starting the
// search at the preferred one. It returns false if there is none.
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
