package testutil

import (
	"os"
	"strconv"
	"testing"
)

// defaultSeed is fixed so that CI runs of randomised tests are reproducible.
const defaultSeed = 20261203

// Seed returns and logs the seed of a randomised test: the number in the environment
// variable CACTUSSPAR_SEED, or a fixed default.
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
