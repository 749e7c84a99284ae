package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Duration is a time.Duration that is encoded as a string, such as "200ms", "1.5s"
// or "2h".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration in the form that UnmarshalJSON accepts.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(text []byte) error {
	invalid := &ValueError{Text: `expected a duration in a string, such as "200ms", "1.5s" or "2h"`}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return invalid
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return invalid
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the duration in the form that UnmarshalJSON accepts.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// File is the path of a file. In a settings file, a relative path is resolved
// against the folder of that settings file.
type File string

const (
	maxSecretBytes = 4 << 10
	maxPEMBytes    = 1 << 20
	// groupOtherMask selects the permission bits of the group and of other users.
	groupOtherMask = 0o077
)

// ReadSecret reads the secret in the file and trims surrounding whitespace. It returns
// an error if the file is accessible to its group or to other users.
func (f File) ReadSecret() (string, error) {
	if err := f.checkPrivate(); err != nil {
		return "", err
	}
	text, err := readBounded(string(f), maxSecretBytes)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(text))
	if secret == "" {
		return "", errs.New("%s is empty", f)
	}
	return secret, nil
}

// checkPrivate returns an error if the file is accessible to its group or to other
// users.
func (f File) checkPrivate() error {
	info, err := os.Stat(string(f))
	if err != nil {
		return err
	}
	if info.Mode().Perm()&groupOtherMask != 0 {
		return errs.New("%s is accessible to other users (mode %04o), expected 0600", f, info.Mode().Perm())
	}
	return nil
}

// Listener configures an address that a process listens on and its TLS.
type Listener struct {
	// Address is an IP address and port, such as "127.0.0.1:7001".
	Address string `json:"address"`
	// PlainText permits unencrypted connections on an address other than loopback.
	PlainText bool `json:"plain_text"`
	// TLS enables TLS on the listener. If it is nil, connections are unencrypted.
	TLS *ServerTLS `json:"tls"`
}

// ServerTLS configures TLS on a listener.
type ServerTLS struct {
	Certificate File `json:"certificate"`
	Key         File `json:"key"`
	// ClientCA lists the files with the certificate authorities of clients. If it is
	// set, clients must present a certificate.
	ClientCA []File `json:"client_ca"`
	// ClientOptional also admits clients that present no certificate.
	ClientOptional bool `json:"client_optional"`
}

// ClientTLS configures TLS on connections to other processes.
type ClientTLS struct {
	// CA lists the files with the certificate authorities of servers.
	CA []File `json:"ca"`
	// Certificate and Key are used if the server requests a client certificate.
	Certificate File `json:"certificate"`
	Key         File `json:"key"`
	// ServerName is the name expected in the server's certificate, in place of the
	// host of the address.
	ServerName string `json:"server_name"`
}

// Check reports a missing or invalid address, and an address other than loopback
// that has neither TLS nor permission for plain text.
func (l *Listener) Check(c *Checks) {
	if l.Address == "" {
		c.Require("address", false)
		return
	}
	ip, err := ParseAddress(l.Address)
	if err != nil {
		c.Add("address", "%v", err)
		return
	}
	if l.TLS == nil && !ip.IsLoopback() && !l.PlainText {
		c.Add("address", "%s is not a loopback address: expected \"tls\", or \"plain_text\": true to permit plain text", l.Address)
	}
}

// Check reports a missing certificate or key, and client_optional without client_ca.
func (t *ServerTLS) Check(c *Checks) {
	c.Require("certificate", t.Certificate != "")
	c.Require("key", t.Key != "")
	if t.ClientOptional && len(t.ClientCA) == 0 {
		c.Add("client_optional", "client_optional has no effect without client_ca")
	}
}

// Check reports missing certificate authorities, and a certificate without a key or
// the reverse.
func (t *ClientTLS) Check(c *Checks) {
	c.Require("ca", len(t.CA) > 0)
	if (t.Certificate == "") != (t.Key == "") {
		c.Add("certificate", "certificate and key must be set together")
	}
}

// ParseAddress checks that address is an IP address with a port and returns the IP
// address.
func ParseAddress(address string) (netip.Addr, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return netip.Addr{}, errs.New("%q: expected an IP address and port, such as 127.0.0.1:7001", address)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}, errs.New("%q: %q is not an IP address", address, host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return netip.Addr{}, errs.New("%q: %q is not a port from 0 to 65535", address, port)
	}
	return ip, nil
}

// Config returns the TLS configuration of a listener, or nil for a nil receiver,
// which means plain text.
func (t *ServerTLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := loadKeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if len(t.ClientCA) == 0 {
		return config, nil
	}
	if config.ClientCAs, err = loadCertPool(t.ClientCA); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if t.ClientOptional {
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return config, nil
}

// Config returns the TLS configuration of a client, or nil for a nil receiver,
// which means plain text.
func (t *ClientTLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pool, err := loadCertPool(t.CA)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: t.ServerName}
	if t.Certificate != "" {
		pair, err := loadKeyPair(t.Certificate, t.Key)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

func loadKeyPair(certificate, key File) (tls.Certificate, error) {
	c, err := readBounded(string(certificate), maxPEMBytes)
	if err != nil {
		return tls.Certificate{}, err
	}
	if err := key.checkPrivate(); err != nil {
		return tls.Certificate{}, err
	}
	k, err := readBounded(string(key), maxPEMBytes)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(c, k)
	if err != nil {
		return tls.Certificate{}, errs.New("load certificate %s with key %s: %w", certificate, key, err)
	}
	return pair, nil
}

func loadCertPool(files []File) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	for _, f := range files {
		text, err := readBounded(string(f), maxPEMBytes)
		if err != nil {
			return nil, err
		}
		if !pool.AppendCertsFromPEM(text) {
			return nil, errs.New("%s contains no PEM certificate", f)
		}
	}
	return pool, nil
}
