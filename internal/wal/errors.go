// Package wal stores a replica's log, hard state, snapshots and identity under
// one data folder.
//
// What Save and SaveSnapshot returned for without an error survives a crash at
// any later point. After the first failed write or sync the storage is unusable
// for good: a retry could report data as synced that the operating system has
// already dropped.
package wal

import (
	"errors"
	"fmt"
)

// ErrClosed reports the use of a closed storage.
var ErrClosed = errors.New("storage is closed")

// DamageError reports content that a crash cannot have caused. The replica must
// not serve from it.
type DamageError struct {
	File   string
	Offset int64
	Text   string
}

// Error names file and offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Text)
}

// ClusterError reports a data folder that belongs to another cluster.
type ClusterError struct {
	Folder    string
	Got, Want string
}

// Error names the folder and both clusters.
func (e *ClusterError) Error() string {
	return fmt.Sprintf("data folder %s belongs to cluster %q, expected %q", e.Folder, e.Got, e.Want)
}
