package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/settings"
)

// Guards against limits of memory and connections that no request fits into.
func TestLimitsAreChecked(t *testing.T) {
	const required = `"id": "e1", "cluster": "test", "data_centre": "dar-1", "region": "coast", "control": ["127.0.0.1:1"],
"peer": {"address": "127.0.0.1:2"}, "callers": {"address": "127.0.0.1:3"}, "endpoints": {"address": "127.0.0.1:4"}, "health": {"address": "127.0.0.1:5"}`
	s := DefaultSettings()
	require.NoError(t, settings.Parse("s.json", []byte("{"+required+"}"), &s))
	require.EqualValues(t, 16<<20, s.BodyMemoryBytes)
	s = DefaultSettings()
	err := settings.Parse("s.json", []byte("{"+required+",\n\"body_memory_bytes\": 1000, \"max_connections\": 0, \"memory_mb\": 31}"), &s)
	require.EqualError(t, err, `s.json:3:22: 1000, expected 1048576 to 68719476736
s.json:3:47: 0, expected 1 to 1048576
s.json:3:63: 31, expected 0 or 32 to 1048576`)
}
