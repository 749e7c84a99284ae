// Package e2e tests the system as separate processes that communicate over loopback
// sockets: control replicas with data folders, entry instances, and stand-in
// endpoints and callers. The tests kill, suspend and restart processes.
package e2e
