package orchestrator

import "errors"

var (
	// errOutcomeUnknown reports a command that may or may not be committed.
	errOutcomeUnknown = errors.New("the outcome of the command is unknown")
	// errFormerIncarnation reports a response that a worker's former incarnation may have sent.
	errFormerIncarnation = errors.New("the worker has restarted since the call")
	errNoWorker          = errors.New("the worker is not registered")
)
