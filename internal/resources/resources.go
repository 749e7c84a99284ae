// Package resources defines amounts of processors, memory and accelerators.
package resources

// Amount is the resources that a worker has or a task requests.
type Amount struct {
	MilliCPU     int64 `msgpack:"c" json:"milli_cpu"`
	MemoryMB     int64 `msgpack:"m" json:"memory_mb"`
	Accelerators int64 `msgpack:"a" json:"accelerators"`
}

// Plus returns the sum.
func (r Amount) Plus(o Amount) Amount {
	return Amount{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Amount) Minus(o Amount) Amount {
	return Amount{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Max returns the larger value in each dimension.
func (r Amount) Max(o Amount) Amount {
	return Amount{MilliCPU: max(r.MilliCPU, o.MilliCPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most room in every dimension.
func (r Amount) Fits(room Amount) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Within reports whether r is at most limit in every dimension; zero in a dimension means no limit.
func (r Amount) Within(limit Amount) bool {
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(r.MilliCPU, limit.MilliCPU) && within(r.MemoryMB, limit.MemoryMB) && within(r.Accelerators, limit.Accelerators)
}

// ShareOf returns the part of an amount that r allows as its limit, at most 1; zero in a dimension of r
// means no limit.
func (r Amount) ShareOf(o Amount) float64 {
	share := 1.0
	for _, d := range [][2]int64{{r.MilliCPU, o.MilliCPU}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}} {
		if d[0] > 0 && d[1] > d[0] {
			share = min(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// Times returns the amount multiplied by n.
func (r Amount) Times(n int) Amount {
	return Amount{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// Scale returns the amount multiplied by a factor, rounded down.
func (r Amount) Scale(factor float64) Amount {
	scale := func(n int64) int64 { return int64(float64(n) * factor) }
	return Amount{MilliCPU: scale(r.MilliCPU), MemoryMB: scale(r.MemoryMB), Accelerators: scale(r.Accelerators)}
}

// Negative reports whether any dimension is below zero.
func (r Amount) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
