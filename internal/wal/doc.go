// Package wal stores a replica's log, hard state, snapshots and identity under
// one data folder.
package wal
