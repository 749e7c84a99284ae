package state

import (
	"fmt"
	"reflect"
)

// Apply applies the command of the log entry at index and returns its result.
// A rejected command changes only the index, the clock, the violation count and
// the stored result of its session. An index that has been applied already is
// rejected, so that replaying the log is idempotent.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.Index {
		return Result{Index: s.Index, Err: reject(CodeStale, "index %d is not above the applied index %d", index, s.Index)}
	}
	s.Index = index
	if c.Time.After(s.Clock) {
		s.Clock = c.Time.UTC()
	}
	if first, ok := s.storedResult(c.Session); ok {
		return first
	}
	result := Result{Index: index}
	if err := s.execute(&c); err != nil {
		result.Err = err
		if err.Code == CodeInvariant {
			s.Violations++
		}
	} else if c.ApplyRules != nil {
		result.Version = s.Config.Version
	}
	s.storeResult(c.Session, result)
	return result
}

// execute validates and executes the single command that c holds.
func (s *State) execute(c *Command) *Error {
	if n := c.kindCount(); n != 1 {
		return reject(CodeInvalid, "command holds %d kinds, expected 1", n)
	}
	switch {
	case c.ApplyRules != nil:
		return s.applyRules(c.ApplyRules)
	case c.GiveKey != nil:
		return s.giveKey(c.GiveKey)
	case c.WithdrawKey != nil:
		return s.withdrawKey(c.WithdrawKey)
	case c.RegisterEntry != nil:
		return s.registerEntry(&c.RegisterEntry.Entry)
	case c.ExpireEntry != nil:
		return s.expireEntry(c.ExpireEntry)
	case c.AssignPools != nil:
		return s.assignPools(c.AssignPools)
	case c.SetGrants != nil:
		return s.setGrants(c.SetGrants)
	case c.UpsertInstances != nil:
		return s.upsertInstances(c.UpsertInstances)
	case c.MoveInstance != nil:
		return s.moveInstance(c.MoveInstance)
	case c.SetCondition != nil:
		return s.setCondition(c.SetCondition)
	case c.ForgetInstances != nil:
		return s.forgetInstances(c.ForgetInstances)
	case c.StartWave != nil:
		return s.startWave(c.StartWave)
	case c.ControlWave != nil:
		return s.controlWave(c.ControlWave)
	case c.SubmitJobs != nil:
		return s.submitJobs(c.SubmitJobs)
	case c.CancelJobs != nil:
		return s.cancelJobs(c.CancelJobs)
	case c.PlaceTasks != nil:
		return s.placeTasks(c.PlaceTasks)
	case c.ReportTasks != nil:
		return s.reportTasks(c.ReportTasks)
	case c.Workload != nil:
		s.Workload.Apply(c.Workload, s.Clock)
		return nil
	}
	return reject(CodeInvalid, "command %s is not supported by this version", c.Kind())
}

// kindCount returns the number of command pointers that are set.
func (c *Command) kindCount() int {
	n := 0
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Pointer && !f.IsNil() {
			n++
		}
	}
	return n
}

// Kind returns the name of the command's kind for logs and metrics.
func (c *Command) Kind() string {
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Pointer && !f.IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return "none"
}

func reject(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}
