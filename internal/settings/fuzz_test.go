package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/findings"
)

// FuzzParse guards against a panic, and against a finding without a position or text.
func FuzzParse(f *testing.F) {
	f.Add(`{"name": "a", "wait": "1s", "listen": {"address": "127.0.0.1:1"}, "peers": [{}], "names": {"a": "b"}, "token": "x"}`)
	f.Add("{\n// comment\n\"count\": 1e9, \"enabled\": null,}")
	f.Fuzz(func(t *testing.T, text string) {
		err := Parse("f", []byte(text), &sample{})
		var list findings.List
		if err != nil {
			require.True(t, errors.As(err, &list))
		}
		for _, x := range list {
			require.Positive(t, x.Line)
			require.Positive(t, x.Column)
			require.NotEmpty(t, x.Text)
		}
	})
}
