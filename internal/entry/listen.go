package entry

import (
	"crypto/tls"
	"net"

	"cactusspar/internal/intake"
	"cactusspar/internal/settings"
)

// listen opens a listener that holds at most limit open connections. The TLS
// handshake runs on the goroutine that first uses the connection, so that it
// does not block Accept.
func listen(s settings.Listener, in *intake.Intake, limit int) (net.Listener, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	bounded := in.Listen(ln, limit)
	if config != nil {
		return tls.NewListener(bounded, config), nil
	}
	return bounded, nil
}
