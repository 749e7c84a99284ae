package control

import (
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/zeebo/errs"
)

// livenessTimeout is the time without a tick after which the liveness check fails.
const livenessTimeout = 5 * time.Second

// Health returns a handler for liveness, readiness and metrics. A replica is ready
// while it is alive and knows the leader.
func (r *Replica) Health() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/livez", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, r.alive()) })
	router.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, r.ready()) })
	router.Handler(http.MethodGet, "/metrics", r.metrics)
	return router
}

func writeHealth(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintln(w, err)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (r *Replica) alive() error {
	select {
	case <-r.done:
		return errStopped
	default:
	}
	if silent := time.Since(r.started) - time.Duration(r.lastTick.Load()); silent > livenessTimeout {
		return errs.New("the control goroutine has not run for %s", silent.Round(time.Millisecond))
	}
	return nil
}

func (r *Replica) ready() error {
	if err := r.alive(); err != nil {
		return err
	}
	if s := r.Status(); s.Leader == "" {
		return errs.New("replica %s is %s in term %d and knows of no leader", s.Name, s.Role, s.Term)
	}
	return nil
}
