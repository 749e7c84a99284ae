package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/findings"
)

type sample struct {
	Name    string            `json:"name"`
	Wait    Duration          `json:"wait"`
	Count   int               `json:"count"`
	Listen  Listener          `json:"listen"`
	Peers   []Listener        `json:"peers"`
	Names   map[string]string `json:"names"`
	Token   File              `json:"token"`
	Enabled *bool             `json:"enabled"`
}

func (s *sample) Check(c *Checks) {
	c.Require("name", s.Name != "")
	if s.Count > 9 {
		c.Add("count", "count=%d: expected at most 9", s.Count)
	}
}

// TestLoadKeepsDefaultsAndResolvesFiles guards against a default that is overwritten
// by an absent field, and a relative path that is resolved against the working
// directory.
func TestLoadKeepsDefaultsAndResolvesFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	text := `{
	// comment
	"name": "a", /* and another */
	"wait": "1.5s",
	"listen": {"address": "[::1]:70"},
	"peers": [{"address": "10.0.0.1:70", "plain_text": true}],
	"names": {"x": "y"},
	"token": "keys/token",
}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s := sample{Count: 7}
	require.NoError(t, Load(path, &s))
	require.Equal(t, 7, s.Count)
	require.Equal(t, 1500*time.Millisecond, s.Wait.Std())
	require.Equal(t, "10.0.0.1:70", s.Peers[0].Address)
	require.Equal(t, map[string]string{"x": "y"}, s.Names)
	require.Equal(t, File(filepath.Join(filepath.Dir(path), "keys/token")), s.Token)
}

// TestFindingsReportPosition guards against findings that are reported one at a time
// or with a wrong line or column.
func TestFindingsReportPosition(t *testing.T) {
	text := `{
	"wait": 5,
	"count": 10,
	"é": 1, "enabled": "yes",
	"listen": {"address": "10.0.0.1:70", "tsl": null},
	"peers": [{"address": "localhost:70"}, {}, 3,
		{"address": "127.0.0.1:70000", "tls": {"certificate": "c", "client_optional": true}}],
	"names": {"x": 1},
	"token": null,
	"count": 2,
}`
	err := Parse("s.json", []byte(text), &sample{})
	var list findings.List
	require.True(t, errors.As(err, &list))
	want := `s.json:1:1: the field "name" is required
s.json:2:10: 5: expected a duration in a string, such as "200ms", "1.5s" or "2h"
s.json:3:11: count=10: expected at most 9
s.json:4:2: unknown field "é": expected count, enabled, listen, name, names, peers, token, wait
s.json:4:21: "yes": expected true or false
s.json:5:24: 10.0.0.1:70 is not a loopback address: expected "tls", or "plain_text": true to permit plain text
s.json:5:39: unknown field "tsl": expected address, plain_text, tls
s.json:6:24: "localhost:70": "localhost" is not an IP address
s.json:6:41: the field "address" is required
s.json:6:45: expected an object
s.json:7:15: "127.0.0.1:70000": "70000" is not a port from 0 to 65535
s.json:7:41: the field "key" is required
s.json:7:81: client_optional has no effect without client_ca
s.json:8:17: 1: expected a string
s.json:9:11: expected a string
s.json:10:2: field "count" is given twice`
	require.Equal(t, want, list.Error())
}

// TestSyntaxErrorsReportPosition guards against a syntax error without a line, and
// against input that takes unbounded memory.
func TestSyntaxErrorsReportPosition(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"name\" 1}":             "s.json:2:8: ",
		"":                           "s.json:1:1: parsing value: unexpected EOF",
		"[]":                         "s.json:1:1: expected an object",
		strings.Repeat("[", 1000):    "s.json:1:33: nested more than 32 levels deep",
		`{"name": "a"} {"name": "b"`: "s.json:1:15: ",
	} {
		require.ErrorContains(t, Parse("s.json", []byte(text), &sample{}), want, text)
	}
	path := filepath.Join(t.TempDir(), "big")
	require.NoError(t, os.WriteFile(path, make([]byte, MaxBytes+1), 0o600))
	require.ErrorContains(t, Load(path, &sample{}), "more than 262144 bytes")
}

// TestSecretRefusesReadableFiles guards against accepting a secret file that other
// users can read.
func TestSecretRefusesReadableFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(path, []byte("secret\n"), 0o600))
	got, err := File(path).ReadSecret()
	require.NoError(t, err)
	require.Equal(t, "secret", got)
	require.NoError(t, os.Chmod(path, 0o640))
	_, err = File(path).ReadSecret()
	require.ErrorContains(t, err, "accessible to other users")
}
