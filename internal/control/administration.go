package control

import (
	"net/http"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"cactusspar/internal/intake"
	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

// AdministrationSettings configures the administration interface of a replica
// that is embedded in another process. The file is JSON with comments.
type AdministrationSettings struct {
	// Operator is the listener to which operators connect over HTTP. No default.
	Operator settings.Listener `json:"operator"`
	// OperatorTokens is the file with the operators' token hashes. Absent means
	// that operators need a client certificate; see Operator.TLS.
	OperatorTokens settings.File `json:"operator_tokens"`
}

// Serve serves the administration interface of a replica until stop is called.
func (s *AdministrationSettings) Serve(r *Replica, log logr.Logger, metrics *telemetry.Metrics) (stop func(), err error) {
	in := intake.New(intake.Options{BodyBytes: intake.DefaultBodyBytes, DecodingBytes: operator.DecodingBytes, Log: log.WithName("intake"), Metrics: metrics})
	handler, err := s.handler(r, in, log, metrics)
	if err != nil {
		return nil, err
	}
	h, err := listenHTTP("operator", &s.Operator, in, defaultOperatorConnections)
	if err != nil {
		return nil, err
	}
	h.server.Handler = handler
	servers := &httpServers{operator: h}
	var wg conc.WaitGroup
	servers.serve(&wg, log)
	return func() {
		servers.shutdown()
		wg.Wait()
	}, nil
}

func (s *AdministrationSettings) handler(r *Replica, in *intake.Intake, log logr.Logger, metrics *telemetry.Metrics) (http.Handler, error) {
	o := operator.Options{Intake: in, Log: log.WithName("operator"), Metrics: metrics}
	o.Certificates = s.Operator.TLS != nil && len(s.Operator.TLS.ClientCA) > 0
	if s.OperatorTokens != "" {
		tokens, err := operator.LoadTokens(string(s.OperatorTokens))
		if err != nil {
			return nil, errs.New("operator_tokens: %w", err)
		}
		o.Tokens = tokens
	}
	return operator.NewServer(r, o), nil
}
