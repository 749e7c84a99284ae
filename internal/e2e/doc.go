// Package e2e tests the system as separate processes over loopback sockets:
// control replicas with data folders, entry instances, stand-in endpoints and
// callers, with processes killed, frozen and restarted.
package e2e
