package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
)

// Guards against a request that may run beyond the deadline of its queue. Slots of
// a lost entry instance are assumed to be in use only that long.
func TestDeadlineIsBoundedByTheQueue(t *testing.T) {
	start := time.Now()
	p := &parsedRequest{queue: rules.Queue{Deadline: time.Second}}
	r := &http.Request{Header: http.Header{headerTimeout: {"5000"}}}
	require.Nil(t, p.parseTimeout(r, start))
	require.Equal(t, start.Add(time.Second), p.deadline)
	r.Header.Set(headerTimeout, "300")
	require.Nil(t, p.parseTimeout(r, start))
	require.Equal(t, start.Add(300*time.Millisecond), p.deadline)
}
