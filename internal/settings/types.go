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

// Duration is a time span written as a string, such as "200ms", "1.5s" or "2h".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String formats the value as it is read.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalJSON reads a string that time.ParseDuration understands.
func (d *Duration) UnmarshalJSON(text []byte) error {
	wrong := &ValueError{Text: `expected a duration in a string, such as "200ms", "1.5s" or "2h"`}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return wrong
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return wrong
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the value as it is read.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// File is the name of a file. In a settings file, a relative name counts from
// the folder of that settings file.
type File string

const (
	maxSecretBytes = 4 << 10
	maxPEMBytes    = 1 << 20
	// othersMask holds the permission bits of group and others.
	othersMask = 0o077
)

// Secret reads the secret in the file, without the line end. The file must not
// be accessible to its group or to others.
func (f File) Secret() (string, error) {
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

// checkPrivate refuses a file that is accessible to its group or to others.
func (f File) checkPrivate() error {
	info, err := os.Stat(string(f))
	if err != nil {
		return err
	}
	if info.Mode().Perm()&othersMask != 0 {
		return errs.New("%s is accessible to other users (mode %04o), expected 0600", f, info.Mode().Perm())
	}
	return nil
}

// Listener is the address that a process listens on and how it is protected.
type Listener struct {
	// Address is an IP address and port, such as "127.0.0.1:7001".
	Address string `json:"address"`
	// PlainText permits plain text on an address that is not a loopback address.
	PlainText bool `json:"plain_text"`
	// TLS protects the listener; absent means plain text.
	TLS *ServerTLS `json:"tls"`
}

// ServerTLS holds the files of a listener with TLS.
type ServerTLS struct {
	Certificate File `json:"certificate"`
	Key         File `json:"key"`
	// ClientCA holds the certificate authorities of clients. If it is given,
	// a client has to show a certificate.
	ClientCA []File `json:"client_ca"`
	// ClientOptional also admits clients that show no certificate.
	ClientOptional bool `json:"client_optional"`
}

// ClientTLS holds the files for connections to other processes.
type ClientTLS struct {
	// CA holds the certificate authorities of servers.
	CA []File `json:"ca"`
	// Certificate and Key are shown to servers that ask for a certificate.
	Certificate File `json:"certificate"`
	Key         File `json:"key"`
	// ServerName replaces the host of the address in the certificate check.
	ServerName string `json:"server_name"`
}

// Check reports an address that is invalid or not protected.
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

// Check reports a missing certificate or key.
func (t *ServerTLS) Check(c *Checks) {
	c.Require("certificate", t.Certificate != "")
	c.Require("key", t.Key != "")
	if t.ClientOptional && len(t.ClientCA) == 0 {
		c.Add("client_optional", "client_optional has no effect without client_ca")
	}
}

// Check reports a certificate without a key or the reverse.
func (t *ClientTLS) Check(c *Checks) {
	c.Require("ca", len(t.CA) > 0)
	if (t.Certificate == "") != (t.Key == "") {
		c.Add("certificate", "certificate and key go together")
	}
}

// ParseAddress reads an IP address and port and returns the IP address.
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

// Config builds the TLS configuration of a listener. A nil receiver means plain
// text and returns nil.
func (t *ServerTLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := loadPair(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if len(t.ClientCA) == 0 {
		return config, nil
	}
	if config.ClientCAs, err = loadPool(t.ClientCA); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if t.ClientOptional {
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return config, nil
}

// Config builds the TLS configuration of a client. A nil receiver means plain
// text and returns nil.
func (t *ClientTLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pool, err := loadPool(t.CA)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: t.ServerName}
	if t.Certificate != "" {
		pair, err := loadPair(t.Certificate, t.Key)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

func loadPair(certificate, key File) (tls.Certificate, error) {
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
		return tls.Certificate{}, errs.New("certificate %s with key %s: %w", certificate, key, err)
	}
	return pair, nil
}

func loadPool(files []File) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	for _, f := range files {
		text, err := readBounded(string(f), maxPEMBytes)
		if err != nil {
			return nil, err
		}
		if !pool.AppendCertsFromPEM(text) {
			return nil, errs.New("%s holds no certificate in PEM form", f)
		}
	}
	return pool, nil
}
