// Package platform is the client of the platform that runs tasks on workers and
// reboots instances: HTTP with JSON bodies. docs/PLATFORM.md describes the
// protocol.
//
// Every call may be sent again after a lost answer: a task is started at most
// once for each task id, and an instance is rebooted at most once for each
// request id.
package platform

import (
	"time"

	"cactusspar/internal/state"
)

// StartTask asks for a task.
type StartTask struct {
	Instance string          `json:"instance"`
	Job      string          `json:"job"`
	Size     state.Resources `json:"size"`
	// Lease is the time after which the platform stops the task unless the
	// lease has been renewed.
	Lease time.Duration `json:"lease_ns"`
}

// RenewTask extends a task's lease from now.
type RenewTask struct {
	Lease time.Duration `json:"lease_ns"`
}

// ThrottleTask bounds a task's processors.
type ThrottleTask struct {
	MilliCPU int64 `json:"milli_cpu"`
}

// Reboot asks for the reboot of a drained instance.
type Reboot struct {
	// Request identifies the reboot. A resend with the same one does nothing.
	Request string `json:"request"`
}

// TaskInfo is what the platform says of a task. Usage lags behind.
type TaskInfo struct {
	ID       string           `json:"id"`
	Job      string           `json:"job"`
	Instance string           `json:"instance"`
	Status   state.TaskStatus `json:"status"`
	Failed   bool             `json:"failed"`
	Used     state.Resources  `json:"used"`
	// LeaseLeft is the time left of the lease.
	LeaseLeft time.Duration `json:"lease_left_ns"`
	// Checkpointed tells that the task has been checkpointed since it was asked for.
	Checkpointed bool `json:"checkpointed"`
}

// InstanceStatus is the platform's view of an instance.
type InstanceStatus string

// Statuses of an instance.
const (
	Up        InstanceStatus = "up"
	Restarts  InstanceStatus = "rebooting"
	Unreached InstanceStatus = "unreachable"
)

// InstanceInfo is what the platform says of an instance.
type InstanceInfo struct {
	ID     string         `json:"id"`
	Status InstanceStatus `json:"status"`
	// Request is the last reboot request that was carried out.
	Request string `json:"request"`
}
