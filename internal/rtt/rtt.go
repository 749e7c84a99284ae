// Package rtt estimates how long the responses to calls take, and how long one is waited for.
package rtt

import "time"

const (
	// meanShare and deviationShare are the inverse weights of a sample. Thousands of samples may come in
	// a second, so that they are smaller than the 8 and 4 that TCP uses for its few.
	meanShare, deviationShare = 64, 32
	// deviations is by how many mean deviations a response may exceed the mean time. With a long tail of
	// slow responses, the deviation grows with the tail.
	deviations = 4
	// minSamples is the number of samples from which on the estimate is used.
	minSamples = 32
)

// Estimator estimates the time of responses by their mean and mean deviation, as TCP estimates its
// retransmission timeout (RFC 6298). The zero value is ready for use. Only the first attempts of calls
// may be observed: a response to a repeated call may belong to any attempt.
type Estimator struct {
	mean, deviation time.Duration
	samples         int
}

// Observe adds the time that a response has taken.
func (e *Estimator) Observe(took time.Duration) {
	took = max(took, 0)
	if e.samples == 0 {
		e.mean, e.deviation = took, took/2
	} else {
		off := took - e.mean
		e.mean += off / meanShare
		e.deviation += (off.Abs() - e.deviation) / deviationShare
	}
	e.samples++
}

// Timeout returns how long a response is waited for, and false until there are enough samples.
func (e *Estimator) Timeout() (time.Duration, bool) {
	return e.mean + deviations*e.deviation, e.samples >= minSamples
}
