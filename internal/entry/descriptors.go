package entry

import (
	"syscall"

	"github.com/go-logr/logr"
)

const (
	// reservedDescriptors are kept for peers, health checks, files and the listeners.
	reservedDescriptors = 640
	// reservedFraction bounds the reserve where the limit of descriptors is low.
	reservedFraction = 4
)

// connectionLimit returns the limit for the connections of callers, and that for
// endpoints. It is the wanted one, or less if the process may not open as many
// descriptors. Each request may use a connection to an endpoint as well; where
// descriptors are few, these get a third.
func connectionLimit(wanted, requests int, descriptors uint64) int {
	if descriptors > 1<<30 {
		return wanted
	}
	n := int(descriptors)
	left := n - min(reservedDescriptors, n/reservedFraction)
	return max(1, min(wanted, (left-min(requests, left/3))/2))
}

// boundConnections returns the limit for the connections of callers, and that for
// endpoints, and logs if it is lower than the settings want.
func boundConnections(wanted, requests int, log logr.Logger) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return wanted
	}
	n := connectionLimit(wanted, requests, limit.Cur)
	if n < wanted {
		log.Info("max_connections is lowered: the process may open too few descriptors.", "descriptors", limit.Cur, "max_connections", n)
	}
	return n
}
