package testutil

import (
	"os"
	"strconv"
	"testing"
)

// defaultSeed makes the tests of CI give the same verdict each time.
const defaultSeed = 20261203

// Seed returns the seed of a randomised test and prints it: a fixed one, or the
// number in the environment variable CACTUSSPAR_SEED.
func Seed(t testing.TB) int64 {
	t.Helper()
	seed := int64(defaultSeed)
	if text := os.Getenv("CACTUSSPAR_SEED"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatalf("CACTUSSPAR_SEED: %v", err)
		}
		seed = n
	}
	t.Logf("seed %d", seed)
	return seed
}
