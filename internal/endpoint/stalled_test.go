package endpoint

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against announcements that stop short of their end and fill the memory or keep out
// others, without an answer to those that are given up.
func TestStalledAnnouncementGivesWay(t *testing.T) {
	_, _, handler, _ := startRegistry(t)
	server := httptest.NewServer(handler)
	defer server.Close()
	var connections []net.Conn
	for range 40 { // together five times the budget
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = fmt.Fprintf(c, "PUT /v1/endpoints/w2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxAnnouncementBytes, strings.Repeat(" ", maxAnnouncementBytes-1))
		require.NoError(t, err)
		connections = append(connections, c)
	}
	response, err := http.ReadResponse(bufio.NewReader(connections[0]), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get(headerRetryAfter))
	r, err := http.NewRequest(http.MethodPut, server.URL+"/v1/endpoints/w1", strings.NewReader(announcement))
	require.NoError(t, err)
	next, err := server.Client().Do(r)
	require.NoError(t, err)
	defer next.Body.Close()
	require.Equal(t, http.StatusOK, next.StatusCode)
	for _, c := range connections {
		_ = c.Close()
	}
}
