package peer

import (
	"encoding/binary"
	"fmt"
)

// Limits of the structure of a frame. The decoder allocates a slice by the
// length that the frame declares before it reads the elements, and recurses for
// each nested value; a few malformed bytes could end the process otherwise.
const (
	maxDepth             = 32
	maxContainerElements = 1 << 16
	maxElements          = 1 << 19
)

// checkStructure checks that data is one msgpack value whose declared lengths
// are backed by bytes and within the limits. Keys of maps count as elements.
func checkStructure(data []byte) error {
	var open [maxDepth]int // elements left in each open container
	depth, total, offset := 0, 0, 0
	for {
		v, err := valueAt(data, offset)
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

// value describes an encoded value: its size without its elements, and their number.
type value struct{ bytes, elements int }

// valueAt returns the value at an offset after checking that it is complete.
func valueAt(data []byte, offset int) (value, error) {
	rest := data[offset:]
	if len(rest) == 0 {
		return value{}, &FrameError{fmt.Sprintf("ends at offset %d, expected a value", offset)}
	}
	v, lengthBytes := shape(rest[0])
	if lengthBytes > 0 {
		if len(rest) < 1+lengthBytes {
			return value{}, &FrameError{fmt.Sprintf("ends in the length at offset %d", offset)}
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
		return value{}, &FrameError{fmt.Sprintf("value of %d bytes at offset %d, %d remain", v.bytes, offset, len(rest))}
	}
	return v, nil
}

// shape returns what a value's first byte says of it, and the size of the length
// that follows. With a length, bytes lacks the content, and elements is the
// factor from the length to the number of elements.
func shape(code byte) (v value, lengthBytes int) {
	switch {
	case code <= 0x7f, code >= 0xe0: // small integers
		return value{1, 0}, 0
	case code <= 0x8f: // small map
		return value{1, 2 * int(code&0x0f)}, 0
	case code <= 0x9f: // small array
		return value{1, int(code & 0x0f)}, 0
	case code <= 0xbf: // small string
		return value{1 + int(code&0x1f), 0}, 0
	case code <= 0xc3: // nil, unused, false, true
		return value{1, 0}, 0
	case code <= 0xc6: // bytes
		return value{1, 0}, 1 << (code - 0xc4)
	case code <= 0xc9: // extension: length, type, content
		return value{2, 0}, 1 << (code - 0xc7)
	case code <= 0xcb: // floats
		return value{1 + 4<<(code-0xca), 0}, 0
	case code <= 0xcf: // unsigned integers
		return value{1 + 1<<(code-0xcc), 0}, 0
	case code <= 0xd3: // signed integers
		return value{1 + 1<<(code-0xd0), 0}, 0
	case code <= 0xd8: // extension of 1, 2, 4, 8 or 16 bytes
		return value{2 + 1<<(code-0xd4), 0}, 0
	case code <= 0xdb: // strings
		return value{1, 0}, 1 << (code - 0xd9)
	case code <= 0xdd: // arrays
		return value{1, 1}, 2 << (code - 0xdc)
	default: // maps
		return value{1, 2}, 2 << (code - 0xde)
	}
}
