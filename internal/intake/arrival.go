package intake

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultBodyBytes is a budget for the bodies of 4,096 requests of ordinary size.
const DefaultBodyBytes = 16 << 20

// Arrival is the arrival of a request body that its handler reads itself.
type Arrival struct {
	intake  *Intake
	request *http.Request
	holding *Holding
	gaveWay atomic.Bool
	refused sync.Once
}

// Arrive begins the arrival of a request's body, which waits for room until the deadline. If
// the body has to give way, reading it
// fails by an exceeded deadline: the handler must not set another read deadline before
// Complete or Close.
func (i *Intake) Arrive(w http.ResponseWriter, r *http.Request, deadline time.Time) *Arrival {
	controller := http.NewResponseController(w)
	setState(r, waiting)
	a := &Arrival{intake: i, request: r}
	a.holding = i.budget.Open(func() {
		a.gaveWay.Store(true)
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	a.holding.WaitUntil(deadline)
	return a
}

// GaveWay reports whether the body had to give way.
func (a *Arrival) GaveWay() bool { return a.gaveWay.Load() }

// Grow takes n more bytes of the budget, which counts as progress. The error is ErrGaveWay
// or ErrExhausted.
func (a *Arrival) Grow(n int64) error {
	err := a.holding.Grow(n)
	if err != nil {
		a.count(err)
		return err
	}
	setState(a.request, waiting)
	return nil
}

// Progress tells that bytes have arrived. The error is ErrGaveWay if the body has to give
// way.
func (a *Arrival) Progress() error { return a.Grow(0) }

// Complete ends the arrival. The body no longer gives way, and holds its bytes until Close.
func (a *Arrival) Complete() error {
	if err := a.holding.Complete(); err != nil {
		a.count(err)
		return err
	}
	setState(a.request, busy)
	return nil
}

// Close gives back what the body holds. It may be called more than once.
func (a *Arrival) Close() { a.holding.Close() }

func (a *Arrival) count(err error) {
	if errors.Is(err, ErrGaveWay) || errors.Is(err, ErrExhausted) {
		a.refused.Do(func() {
			a.intake.refused.Inc(1)
			a.intake.logLimit(limitBodies)
		})
	}
}

// LimitRest bounds how long the server waits for the rest of a body that the handler
// doesn't read. Without a complete body, the connection is closed after the response.
func LimitRest(w http.ResponseWriter, r *http.Request) {
	setState(r, finishing)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}
