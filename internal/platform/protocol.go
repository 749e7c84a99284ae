// Package platform is the client of the platform that runs tasks on workers and
// reboots instances. The protocol is HTTP with JSON bodies, see docs/PLATFORM.md.
//
// Every call may be repeated after a lost response: a task is started at most
// once for each task id, and an instance is rebooted at most once for each
// request id.
package platform

import (
	"time"

	"cactusspar/internal/state"
)

// StartTask is the body of a request to start a task.
type StartTask struct {
	Instance string          `json:"instance"`
	Job      string          `json:"job"`
	Size     state.Resources `json:"size"`
	// Lease is the time after which the platform stops the task unless the lease
	// is renewed.
	Lease time.Duration `json:"lease_ns"`
}

// RenewTask is the body of a request to extend a task's lease, counted from the
// arrival of the request.
type RenewTask struct {
	Lease time.Duration `json:"lease_ns"`
}

// ThrottleTask is the body of a request to limit a task's processor usage.
type ThrottleTask struct {
	MilliCPU int64 `json:"milli_cpu"`
}

// Reboot is the body of a request to reboot a drained instance.
type Reboot struct {
	// Request identifies the reboot. A repeated request with the same id has no
	// effect.
	Request string `json:"request"`
}

// TaskInfo is the platform's report of a task. Its usage may be out of date.
type TaskInfo struct {
	ID       string           `json:"id"`
	Job      string           `json:"job"`
	Instance string           `json:"instance"`
	Status   state.TaskStatus `json:"status"`
	Failed   bool             `json:"failed"`
	Used     state.Resources  `json:"used"`
	// LeaseLeft is the remaining time of the lease.
	LeaseLeft time.Duration `json:"lease_left_ns"`
	// Checkpointed reports whether the task has been checkpointed since a checkpoint
	// was requested.
	Checkpointed bool `json:"checkpointed"`
}

// InstanceStatus is the status of an instance according to the platform.
type InstanceStatus string

// Statuses of an instance.
const (
	Up          InstanceStatus = "up"
	Rebooting   InstanceStatus = "rebooting"
	Unreachable InstanceStatus = "unreachable"
)

// InstanceInfo is the platform's report of an instance.
type InstanceInfo struct {
	ID     string         `json:"id"`
	Status InstanceStatus `json:"status"`
	// Request is the id of the last reboot request that the platform accepted.
	Request string `json:"request"`
}
