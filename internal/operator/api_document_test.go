package operator

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAPIDocumentListsEveryRouteAndCode guards against docs/API.md listing a route
// that does not exist, or omitting a route or a problem code.
func TestAPIDocumentListsEveryRouteAndCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	for code, kind := range problemKinds {
		status := fmt.Sprint(kind.status)
		if code == CodeNotLeader {
			status = "307, 503"
		}
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %s |", code, status))
	}

	f := newFakeCluster(t, 1, Options{})
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("`(GET|POST|DELETE) (/v1/[^`]*)`").FindAllStringSubmatch(string(page), -1) {
		method, path := m[1], m[2]
		listed[method+" "+regexp.MustCompile(`\{\w+\}`).ReplaceAllString(path, ":")] = true
		response := send(t, f.address(0), method, strings.NewReplacer("{", "", "}", "").Replace(path), testToken, "application/json", "{}")
		var p Problem
		if response.StatusCode != 200 {
			require.NoError(t, json.NewDecoder(response.Body).Decode(&p))
		}
		require.NotContains(t, []Code{CodeNoSuchCall, CodeMethodNotAllowed, CodeInternal}, p.Code, m[0])
	}

	source, err := os.ReadFile("server.go")
	require.NoError(t, err)
	routes := regexp.MustCompile(`(get|post|DELETE)\("(/v1/[^"]+)"`).FindAllStringSubmatch(string(source), -1)
	require.Greater(t, len(routes), 25)
	for _, m := range routes {
		call := strings.ToUpper(m[1]) + " " + regexp.MustCompile(`:\w+`).ReplaceAllString(m[2], ":")
		call = strings.Replace(call, "/waves/:/:", "/waves/:/pause", 1)
		require.True(t, listed[call], "%s is not in docs/API.md", call)
	}
}
