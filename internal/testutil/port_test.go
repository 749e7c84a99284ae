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

// preferredBlock makes the helper process begin at its parent's block.
const preferredBlock = "CACTUSSPAR_TEST_BLOCK"

// Guards against test processes that run at the same time and draw the same
// addresses: one of them then found its port taken between two starts.
func TestProcessesDrawDifferentAddresses(t *testing.T) {
	const draws = 400
	mine := map[string]bool{}
	for range draws {
		mine[FreeAddr(t)] = true
	}
	helper := exec.Command(os.Args[0]) //nolint:gosec // the own binary
	helper.Env = append(os.Environ(), fmt.Sprintf("%s=%d", preferredBlock, (ports.first-firstPort)/portsPerBlock))
	out, err := helper.Output()
	require.NoError(t, err, string(out))
	theirs := 0
	for line := range strings.Lines(string(out)) {
		if addr, ok := strings.CutPrefix(strings.TrimSpace(line), "drew "); ok {
			theirs++
			require.False(t, mine[addr], "both processes drew %s", addr)
		}
	}
	require.Positive(t, theirs)
}

// TestMain draws addresses instead of running the tests if this process is the
// helper of the test above.
func TestMain(m *testing.M) {
	text := os.Getenv(preferredBlock)
	if text == "" {
		os.Exit(m.Run())
	}
	block, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	for range portsPerBlock {
		addr, err := draw(block)
		if err != nil {
			panic(err)
		}
		fmt.Println("drew", addr)
	}
}
