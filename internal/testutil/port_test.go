package testutil

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// preferredBlockEnv is the environment variable that makes the helper process start
// its search at the block of its parent.
const preferredBlockEnv = "CACTUSSPAR_TEST_BLOCK"

// Guards against concurrent test processes that allocate the same addresses. One of
// them then finds its port in use when it listens on it again.
func TestProcessesAllocateDifferentAddresses(t *testing.T) {
	const count = 400
	ownAddrs := map[string]bool{}
	for range count {
		ownAddrs[FreeAddr(t)] = true
	}
	helper := exec.Command(os.Args[0]) //nolint:gosec // runs this test binary
	helper.Env = append(os.Environ(), fmt.Sprintf("%s=%d", preferredBlockEnv, (ports.first-firstPort)/portsPerBlock))
	out, err := helper.Output()
	require.NoError(t, err, string(out))
	helperAddrs := 0
	for line := range strings.Lines(string(out)) {
		if addr, ok := strings.CutPrefix(strings.TrimSpace(line), "allocated "); ok {
			helperAddrs++
			require.False(t, ownAddrs[addr], "both processes allocated %s", addr)
		}
	}
	require.Positive(t, helperAddrs)
}

// TestMain allocates and prints addresses instead of running the tests if this
// process is the helper process of TestProcessesAllocateDifferentAddresses.
func TestMain(m *testing.M) {
	text := os.Getenv(preferredBlockEnv)
	if text == "" {
		os.Exit(m.Run())
	}
	block, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	for range portsPerBlock {
		addr, err := allocate(block)
		if err != nil {
			panic(err)
		}
		fmt.Println("allocated", addr)
	}
}
