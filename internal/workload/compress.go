package workload

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxInflatedBytes bounds what compressed data may expand to. It is well above the largest topology.
const maxInflatedBytes = 32 << 20

// deflate compresses data that many processes fetch over slow links.
func deflate(data []byte) ([]byte, error) { return deflateAt(flate.DefaultCompression, data) }

// deflateFast compresses data that replicas store and send each other.
func deflateFast(data []byte) ([]byte, error) { return deflateAt(flate.BestSpeed, data) }

func deflateAt(level int, data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > maxInflatedBytes {
		return nil, fmt.Errorf("decompress: more than %d bytes", maxInflatedBytes)
	}
	return out, r.Close()
}
