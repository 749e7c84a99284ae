package command

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cactusspar/internal/findings"
	"cactusspar/internal/operator"
)

// Exit codes. Scripts depend on them.
const (
	exitOK              = 0
	exitFailed          = 1
	exitUsage           = 2
	exitFindings        = 3
	exitRejected        = 4
	exitNotFound        = 5
	exitUnauthenticated = 6
	exitUnreachable     = 7
	exitUnknownOutcome  = 8
)

// usageError reports invalid usage of the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func newUsageError(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// reportedError wraps an error whose message has already been printed.
type reportedError struct{ err error }

func (e *reportedError) Error() string { return e.err.Error() }

func (e *reportedError) Unwrap() error { return e.err }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var usage *usageError
	var list findings.List
	var problem *operator.Problem
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &list):
		return exitFindings
	case errors.Is(err, operator.ErrUnknownOutcome):
		return exitUnknownOutcome
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &problem):
		return problemExit(problem)
	}
	return exitFailed
}

func problemExit(p *operator.Problem) int {
	switch {
	case p.Code == operator.CodeUnauthenticated:
		return exitUnauthenticated
	case p.Code == operator.CodeInvalidRules:
		return exitFindings
	case p.Code == operator.CodeNotFound:
		return exitNotFound
	case p.Status == http.StatusConflict, p.Status == http.StatusUnprocessableEntity:
		return exitRejected
	}
	return exitFailed
}

// describe formats an error for the operator. Findings are printed one per line
// without a prefix, so that editors can parse their positions.
func describe(err error) string {
	var list findings.List
	if errors.As(err, &list) {
		return list.Error()
	}
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Detail != "" && problem.Detail != problem.Title {
		return fmt.Sprintf("%s: %s (%s)", Name, err, strings.TrimSuffix(problem.Title, "."))
	}
	return fmt.Sprintf("%s: %s", Name, err)
}
