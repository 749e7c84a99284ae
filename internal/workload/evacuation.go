package workload

import (
	"slices"
	"time"
)

// Evacuation is an operator's request that no task starts in a data centre.
type Evacuation struct {
	// RequestedBy is the operator who asked for it last.
	RequestedBy string `msgpack:"b"`
	// Since is when the evacuation was accepted. RestoredAt is when it was taken back; it
	// is zero while the evacuation is in force.
	Since      time.Time `msgpack:"s"`
	RestoredAt time.Time `msgpack:"r"`
}

// Active reports whether the evacuation is in force.
func (e *Evacuation) Active() bool { return e.RestoredAt.IsZero() }

// EvacuationChange begins or ends the evacuation of a data centre.
type EvacuationChange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	DataCentre string
	Evacuated  bool
	// By is the operator who asked for the change.
	By string
}

// MaxEvacuations bounds the data centres that the state remembers as evacuated or restored.
const MaxEvacuations = 64

// applyEvacuation begins or ends an evacuation. A repeated change has no effect.
func (s *State) applyEvacuation(c *EvacuationChange, now time.Time) {
	known, exists := s.Evacuations[c.DataCentre]
	switch {
	case c.Evacuated && s.EvacuationsFull(c.DataCentre):
	case c.Evacuated && (!exists || !known.Active()):
		s.Evacuations[c.DataCentre] = Evacuation{RequestedBy: c.By, Since: now}
	case !c.Evacuated && exists && known.Active():
		known.RequestedBy, known.RestoredAt = c.By, now
		s.Evacuations[c.DataCentre] = known
	}
}

// EvacuationsFull reports whether an evacuation of a further data centre would be ignored.
func (s *State) EvacuationsFull(dataCentre string) bool {
	_, known := s.Evacuations[dataCentre]
	return !known && len(s.Evacuations) >= MaxEvacuations
}

// Evacuated reports whether no task may start in a data centre.
func (s *State) Evacuated(dataCentre string) bool {
	e, ok := s.Evacuations[dataCentre]
	return ok && e.Active()
}

// RestoredAt returns when the last evacuation of a data centre was taken back, or the zero
// time if there was none or it is in force.
func (s *State) RestoredAt(dataCentre string) time.Time { return s.Evacuations[dataCentre].RestoredAt }

// EvacuatedDataCentres returns the data centres in which no task may start, sorted.
func (s *State) EvacuatedDataCentres() []string {
	var names []string
	for name, e := range s.Evacuations {
		if e.Active() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasDataCentre reports whether a worker is in a data centre.
func (s *State) HasDataCentre(name string) bool {
	for _, w := range s.Workers {
		if name != "" && w.DataCentre == name {
			return true
		}
	}
	return false
}

// RunsIn returns the number of runs on the workers of a data centre.
func (s *State) RunsIn(dataCentre string) int {
	n := 0
	for id, w := range s.Workers {
		if w.DataCentre == dataCentre {
			n += len(s.RunsOn(id))
		}
	}
	return n
}
