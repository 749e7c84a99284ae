package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
)

// Guards against a request that may run longer than its queue's deadline, which
// is how long the work of a lost entry instance counts.
func TestDeadlineIsBoundedByTheQueue(t *testing.T) {
	start := time.Now()
	c := &call{queue: rules.Queue{Deadline: time.Second}}
	r := &http.Request{Header: http.Header{headerTimeout: {"5000"}}}
	require.Nil(t, c.parseTimeout(r, start))
	require.Equal(t, start.Add(time.Second), c.deadline)
	r.Header.Set(headerTimeout, "300")
	require.Nil(t, c.parseTimeout(r, start))
	require.Equal(t, start.Add(300*time.Millisecond), c.deadline)
}
