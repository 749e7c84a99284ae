package wal

import (
	"errors"
	"fmt"
	"path/filepath"

	"cactusspar/internal/consensus"
)

const (
	snapshotPrefix = "state-"
	snapshotSuffix = ".snapshot"
)

func snapshotFileName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// snapshotHeader is the body of the first record of a snapshot file. The records
// after it hold the data in order.
type snapshotHeader struct {
	Version    int                  `msgpack:"v"`
	Index      uint64               `msgpack:"i"`
	Term       uint64               `msgpack:"t"`
	Membership consensus.Membership `msgpack:"m"`
	Bytes      uint64               `msgpack:"b"`
}

// snapshotChunkBytes is the maximum size of the data in one record.
const snapshotChunkBytes = 1 << 20

// encodeSnapshot passes the records of a snapshot file to write, in order.
func encodeSnapshot(s *consensus.Snapshot, write func([]byte) error) error {
	h := snapshotHeader{Version: formatVersion, Index: s.Index, Term: s.Term, Membership: s.Membership, Bytes: uint64(len(s.Data))}
	offset := int64(0)
	writeRecord := func(v any) error {
		buf, err := appendRecord(nil, s.Index, offset, v)
		if err != nil {
			return err
		}
		offset += int64(len(buf))
		return write(buf)
	}
	if err := writeRecord(&h); err != nil {
		return err
	}
	for rest := s.Data; len(rest) > 0; {
		n := min(len(rest), snapshotChunkBytes)
		if err := writeRecord(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// decodeSnapshot decodes the content of a snapshot file.
func decodeSnapshot(file string, index uint64, data []byte) (*consensus.Snapshot, error) {
	r := &recordReader{file: file, data: data, salt: index}
	var h snapshotHeader
	ok, err := r.next(&h)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, r.corruption("no snapshot header")
	}
	if h.Version != formatVersion || h.Index != index || h.Index == 0 || h.Term == 0 || h.Bytes > uint64(len(data)) {
		return nil, r.corruption("invalid header %+v for the snapshot at index %d", h, index)
	}
	s := &consensus.Snapshot{Index: h.Index, Term: h.Term, Membership: h.Membership, Data: make([]byte, 0, h.Bytes)}
	for {
		var chunk []byte
		ok, err := r.next(&chunk)
		if err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		s.Data = append(s.Data, chunk...)
	}
	if uint64(len(s.Data)) != h.Bytes {
		return nil, r.corruption("%d bytes of data, expected %d", len(s.Data), h.Bytes)
	}
	return s, nil
}

// writeAtomically writes a file so that, after a crash, it either has its complete
// new content or is unchanged. It writes and syncs a temporary file, renames it
// and syncs the folder.
func writeAtomically(fs FS, folder, name string, writeContent func(write func([]byte) error) error) error {
	path := filepath.Join(folder, name)
	f, err := fs.Create(path + temporarySuffix)
	if err != nil {
		return writeError(err)
	}
	err = writeContent(func(b []byte) error {
		_, err := f.Write(b)
		return writeError(err)
	})
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if errors.Is(err, ErrNoRoom) {
		return errors.Join(err, fs.Remove(path+temporarySuffix))
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(path+temporarySuffix, path); err != nil {
		return writeError(err)
	}
	return fs.SyncDir(folder)
}
