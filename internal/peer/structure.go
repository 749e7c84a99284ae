package peer

import (
	"encoding/binary"
	"fmt"
)

// Limits of the structure of a frame. The decoder allocates a slice of the
// declared length before it reads the elements, and recurses into nested values.
// Without these limits, a few malformed bytes could crash the process.
const (
	maxDepth             = 32
	maxContainerElements = 1 << 16
	maxElements          = 1 << 19
)

// checkStructure checks that data is a single msgpack value whose declared lengths
// are within the limits and the available data. Map keys count as elements.
func checkStructure(data []byte) error {
	var open [maxDepth]int // number of elements left in each open container
	depth, total, offset := 0, 0, 0
	for {
		v, err := valueSizeAt(data, offset)
		if err != nil {
			return err
		}
		offset += v.bytes
		total += v.elements
		if v.elements > maxContainerElements || total > maxElements || v.elements > len(data)-offset {
			return &FrameError{fmt.Sprintf("%d elements at offset %d, at most %d allowed and %d in all", v.elements, offset, maxContainerElements, maxElements)}
		}
		if v.elements > 0 {
			if depth == maxDepth {
				return &FrameError{fmt.Sprintf("nested deeper than %d at offset %d", maxDepth, offset)}
			}
			open[depth] = v.elements
			depth++
			continue
		}
		for depth > 0 {
			open[depth-1]--
			if open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			break
		}
	}
	if offset != len(data) {
		return &FrameError{fmt.Sprintf("%d bytes follow the value", len(data)-offset)}
	}
	return nil
}

// valueSize is the size of an encoded value without its elements, and the number
// of its elements.
type valueSize struct{ bytes, elements int }

// valueSizeAt returns the size of the value at an offset, after checking that
// the value without its elements is complete.
func valueSizeAt(data []byte, offset int) (valueSize, error) {
	rest := data[offset:]
	if len(rest) == 0 {
		return valueSize{}, &FrameError{fmt.Sprintf("ends at offset %d, expected a value", offset)}
	}
	v, lengthBytes := decodeTypeByte(rest[0])
	if lengthBytes > 0 {
		if len(rest) < 1+lengthBytes {
			return valueSize{}, &FrameError{fmt.Sprintf("ends in the length at offset %d", offset)}
		}
		var wide [8]byte
		copy(wide[8-lengthBytes:], rest[1:1+lengthBytes])
		n := int(binary.BigEndian.Uint64(wide[:]))
		v.bytes += lengthBytes
		switch v.elements {
		case 0:
			v.bytes += n
		default: // 1 for arrays, 2 for maps
			v.elements *= n
		}
	}
	if v.bytes > len(rest) {
		return valueSize{}, &FrameError{fmt.Sprintf("value of %d bytes at offset %d, %d remain", v.bytes, offset, len(rest))}
	}
	return v, nil
}

// decodeTypeByte returns the size that the first byte of a value declares, and
// the size of the length field that follows. If there is a length field, bytes
// does not include the content, and elements is the number of elements for each
// unit of length.
func decodeTypeByte(code byte) (v valueSize, lengthBytes int) {
	switch {
	case code <= 0x7f, code >= 0xe0: // small integers
		return valueSize{1, 0}, 0
	case code <= 0x8f: // small map
		return valueSize{1, 2 * int(code&0x0f)}, 0
	case code <= 0x9f: // small array
		return valueSize{1, int(code & 0x0f)}, 0
	case code <= 0xbf: // small string
		return valueSize{1 + int(code&0x1f), 0}, 0
	case code <= 0xc3: // nil, unused, false, true
		return valueSize{1, 0}, 0
	case code <= 0xc6: // bytes
		return valueSize{1, 0}, 1 << (code - 0xc4)
	case code <= 0xc9: // extension: length, type, content
		return valueSize{2, 0}, 1 << (code - 0xc7)
	case code <= 0xcb: // floats
		return valueSize{1 + 4<<(code-0xca), 0}, 0
	case code <= 0xcf: // unsigned integers
		return valueSize{1 + 1<<(code-0xcc), 0}, 0
	case code <= 0xd3: // signed integers
		return valueSize{1 + 1<<(code-0xd0), 0}, 0
	case code <= 0xd8: // extension of 1, 2, 4, 8 or 16 bytes
		return valueSize{2 + 1<<(code-0xd4), 0}, 0
	case code <= 0xdb: // strings
		return valueSize{1, 0}, 1 << (code - 0xd9)
	case code <= 0xdd: // arrays
		return valueSize{1, 1}, 2 << (code - 0xdc)
	default: // maps
		return valueSize{1, 2}, 2 << (code - 0xde)
	}
}
