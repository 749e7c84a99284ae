package e2e

import (
	"context"
	"crypto/tls"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
)

// makeCertificates creates a development certificate authority and a certificate for
// each process and the operator asha.
func (c *cluster) makeCertificates(controls, entries int) {
	c.t.Helper()
	c.certs = filepath.Join(c.dir, "certs")
	args := []string{"certs", "--dir", c.certs, "--operator", "asha"}
	for i := range controls {
		args = append(args, "--instance", fmt.Sprint("control-", i))
	}
	for i := range entries {
		args = append(args, "--instance", fmt.Sprint("entry-", i))
	}
	out, err := exec.Command(filepath.Join(binaries, "cactusspar"), args...).CombinedOutput()
	require.NoError(c.t, err, "%s", out)
}

// certificate returns the paths of the certificate, its key and the authority.
func (c *cluster) certificate(name string) (cert, key, ca string) {
	return filepath.Join(c.certs, name+".pem"), filepath.Join(c.certs, name+"-key.pem"), filepath.Join(c.certs, "ca.pem")
}

// listener returns the settings of a listener, with mutual TLS if the cluster uses it.
func (c *cluster) listener(name, address string) object {
	l := object{"address": address}
	if c.certs != "" {
		cert, key, ca := c.certificate(name)
		l["tls"] = object{"certificate": cert, "key": key, "client_ca": []string{ca}}
	}
	return l
}

// clientTLS returns the TLS settings of a client, or nil if the cluster uses no TLS.
func (c *cluster) clientTLS(name string) any {
	if c.certs == "" {
		return nil
	}
	cert, key, ca := c.certificate(name)
	return object{"ca": []string{ca}, "certificate": cert, "key": key}
}

// operatorTLS returns the TLS configuration of a client that runs in the test, or nil
// if the cluster uses no TLS.
func (c *cluster) operatorTLS(name string) *tls.Config {
	if c.certs == "" {
		return nil
	}
	cert, key, ca := c.certificate(name)
	config, err := (&settings.ClientTLS{CA: []settings.File{settings.File(ca)}, Certificate: settings.File(cert), Key: settings.File(key)}).Config()
	require.NoError(c.t, err)
	return config
}

// Guards against connections that fail with mutual TLS, and against serving a process
// or an operator without a suitable certificate of the authority.
func TestMutualTLS(t *testing.T) {
	c := startCluster(t, 3, 2, true)
	c.apply(twoPoolRules)
	c.issueKey("shops")
	c.startEndpoints("quotes", 2)
	c.waitReady()
	c.waitAnswered("quotes", "shops")

	// Entry instances whose certificate is valid but was issued for another process
	// or for an operator.
	for name, certificate := range map[string]string{"entry-9": "entry-0", "asha": "asha"} {
		unauthorized := c.addEntryAs(name, certificate, 9)
		c.eventually(10*time.Second, name+" is refused", func() bool {
			for _, r := range c.controls {
				if strings.Contains(r.tail(), `the certificate does not name \"`+name+`\"`) {
					return true
				}
			}
			return false
		})
		require.False(t, ready(unauthorized.health))
		unauthorized.kill()
	}

	other := &cluster{t: t, dir: t.TempDir()}
	other.makeCertificates(0, 1)
	otherOperator, err := operator.NewClient(operator.ClientOptions{
		Addresses: []string{c.controls[0].operator}, Token: token, Timeout: 2 * time.Second, TLS: other.operatorTLS("asha"),
	})
	require.NoError(t, err)
	_, err = otherOperator.Rules(context.Background())
	require.Error(t, err, "an operator of another authority was served")

	config := other.operatorTLS("entry-0")
	config.InsecureSkipVerify = true //nolint:gosec // the test checks that the server refuses the client
	conn, err := tls.Dial("tcp", c.controls[0].peer, config)
	if err == nil { // with TLS 1.3 the server refuses after the client's handshake is complete
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "tls:", "a process of another authority was served")
}
