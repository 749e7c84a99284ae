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

// makeCertificates makes a development authority and a certificate for each process.
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

func (c *cluster) certificate(name string) (cert, key, ca string) {
	return filepath.Join(c.certs, name+".pem"), filepath.Join(c.certs, name+"-key.pem"), filepath.Join(c.certs, "ca.pem")
}

// listener returns the settings of a listener with mutual TLS, if it is on.
func (c *cluster) listener(name, address string) object {
	l := object{"address": address}
	if c.certs != "" {
		cert, key, ca := c.certificate(name)
		l["tls"] = object{"certificate": cert, "key": key, "client_ca": []string{ca}}
	}
	return l
}

func (c *cluster) clientTLS(name string) any {
	if c.certs == "" {
		return nil
	}
	cert, key, ca := c.certificate(name)
	return object{"ca": []string{ca}, "certificate": cert, "key": key}
}

func (c *cluster) operatorTLS(name string) *tls.Config {
	if c.certs == "" {
		return nil
	}
	cert, key, ca := c.certificate(name)
	config, err := (&settings.ClientTLS{CA: []settings.File{settings.File(ca)}, Certificate: settings.File(cert), Key: settings.File(key)}).Config()
	require.NoError(c.t, err)
	return config
}

// Guards against mutual TLS that only works in part, and against a process or
// an operator without a certificate of the authority being served.
func TestMutualTLS(t *testing.T) {
	c := startCluster(t, 3, 2, true)
	c.apply(smallRules)
	c.giveKey("shops")
	c.startEndpoints("quotes", 2)
	c.waitReady()
	c.waitServed("quotes", "shops")

	// A process of the same authority that states another name, and an operator
	// who poses as a process.
	for name, certificate := range map[string]string{"entry-9": "entry-0", "asha": "asha"} {
		impostor := c.addEntryAs(name, certificate, 9)
		c.eventually(10*time.Second, name+" is refused", func() bool {
			for _, r := range c.controls {
				if strings.Contains(r.tail(), `the certificate does not name \"`+name+`\"`) {
					return true
				}
			}
			return false
		})
		require.False(t, ready(impostor.health))
		impostor.kill()
	}

	other := &cluster{t: t, dir: t.TempDir()}
	other.makeCertificates(0, 1)
	stranger, err := operator.NewClient(operator.ClientOptions{
		Addresses: []string{c.controls[0].operator}, Token: token, Timeout: 2 * time.Second, TLS: other.operatorTLS("asha"),
	})
	require.NoError(t, err)
	_, err = stranger.Rules(context.Background())
	require.Error(t, err, "an operator of another authority was served")

	config := other.operatorTLS("entry-0")
	config.InsecureSkipVerify = true //nolint:gosec // the server has to refuse the client
	conn, err := tls.Dial("tcp", c.controls[0].peer, config)
	if err == nil { // with TLS 1.3 the refusal comes after the client's part
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "tls:", "a process of another authority was served")
}
