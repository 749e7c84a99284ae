package state

// Resources are what a worker has or a job asks for.
type Resources struct {
	MilliCPU     int64 `msgpack:"c" json:"milli_cpu"`
	MemoryMB     int64 `msgpack:"m" json:"memory_mb"`
	Accelerators int64 `msgpack:"a" json:"accelerators"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Max returns the larger value in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{MilliCPU: max(r.MilliCPU, o.MilliCPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Fits tells whether r is at most room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}
