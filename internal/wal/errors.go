// Package wal stores a replica's log, hard state, snapshots and identity in a
// data folder.
//
// Once Save or SaveSnapshot has returned without an error, the data survives a
// crash at any later point. After the first failed write or sync, the storage
// rejects all further calls: a retry could report data as synced that the
// operating system has already dropped. A write that is refused for want of room
// is the exception: what it has left is cut off, and the call may be repeated.
package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrNoRoom reports that the disk has no room. Nothing of the call is durable, and it
// may be repeated.
var ErrNoRoom = errors.New("no room on the disk")

// writeError returns the error of an operation that needs room. It must not be used
// for a sync, after whose failure the content of the file is unknown.
func writeError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	return err
}

// ErrClosed reports the use of a closed storage.
var ErrClosed = errors.New("storage is closed")

// CorruptionError reports stored data that is invalid in a way that a crash
// cannot have caused. The replica must not start from it.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupted at offset %d: %s", e.File, e.Offset, e.Reason)
}

// ClusterMismatchError reports a data folder that belongs to another cluster.
type ClusterMismatchError struct {
	Folder    string
	Got, Want string
}

// Error returns a message with the folder and both clusters.
func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("data folder %s belongs to cluster %q, expected %q", e.Folder, e.Got, e.Want)
}
