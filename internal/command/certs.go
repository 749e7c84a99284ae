package command

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/operator"
)

// developmentCertLifetime is short because the authority's private key is stored
// next to the certificates.
const developmentCertLifetime = 90 * 24 * time.Hour

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "make a certificate authority and certificates for development",
		Description: `Makes ca.pem and ca-key.pem in the folder, unless they are there, and a
certificate NAME.pem with NAME-key.pem for each instance and operator. For
production, use the certificate authority of your organisation; an operator's
certificate needs the organisational unit "operators".

Example:
  cactusspar certs --dir certs --instance control-1 --instance entry-1 --operator asha`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for the files", Value: "certs"},
			&cli.StringSliceFlag{Name: "instance", Usage: "`NAME` of a control or entry instance"},
			&cli.StringSliceFlag{Name: "operator", Usage: "`NAME` of an operator"},
			&cli.StringSliceFlag{Name: "address", Usage: "IP `ADDRESS` in the certificates of instances", Value: []string{"127.0.0.1", "::1"}},
		},
		Action: makeCerts,
	}
}

func makeCerts(_ context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	var addresses []net.IP
	for _, a := range c.StringSlice("address") {
		ip := net.ParseIP(a)
		if ip == nil {
			return newUsageError("%q is not an IP address", a)
		}
		addresses = append(addresses, ip)
	}
	dir := c.String("dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, err := openAuthority(dir)
	if err != nil {
		return err
	}
	var written []string
	for _, name := range c.StringSlice("instance") {
		template := certificateTemplate(name, x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
		template.IPAddresses = addresses
		template.DNSNames = []string{name}
		if err := ca.issue(dir, name, template); err != nil {
			return err
		}
		written = append(written, filepath.Join(dir, name+".pem"))
	}
	for _, name := range c.StringSlice("operator") {
		template := certificateTemplate(name, x509.ExtKeyUsageClientAuth)
		template.Subject.OrganizationalUnit = []string{operator.OperatorUnit}
		if err := ca.issue(dir, name, template); err != nil {
			return err
		}
		written = append(written, filepath.Join(dir, name+".pem"))
	}
	return show(c, written, func(w io.Writer) error {
		for _, file := range written {
			_, _ = fmt.Fprintln(w, file)
		}
		return nil
	})
}

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// openAuthority reads the certificate authority in dir, or creates one if there is
// none.
func openAuthority(dir string) (*authority, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if errors.Is(err, os.ErrNotExist) {
		return newAuthority(dir)
	}
	if err != nil {
		return nil, err
	}
	key, err := os.ReadFile(filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return nil, err
	}
	certificateBlock, _ := pem.Decode(certificate)
	keyBlock, _ := pem.Decode(key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, errs.New("%s: ca.pem or ca-key.pem is not in PEM form", dir)
	}
	ca := &authority{}
	if ca.certificate, err = x509.ParseCertificate(certificateBlock.Bytes); err != nil {
		return nil, errs.New("ca.pem: %w", err)
	}
	if ca.key, err = x509.ParseECPrivateKey(keyBlock.Bytes); err != nil {
		return nil, errs.New("ca-key.pem: %w", err)
	}
	return ca, nil
}

func newAuthority(dir string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate("cactusspar development authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &authority{certificate: certificate, key: key}, writeKeyPair(dir, "ca", der, key)
}

// issue signs a certificate for a new key and writes both files.
func (a *authority) issue(dir, name string, template *x509.Certificate) error {
	if filepath.Base(name) != name || name == "ca" || name == "." || name == ".." {
		return newUsageError("%q cannot name a certificate", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	return writeKeyPair(dir, name, der, key)
}

func certificateTemplate(name string, usages ...x509.ExtKeyUsage) *x509.Certificate {
	const serialBits = 127
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // never fails; see crypto/rand
	// Tolerates peers whose clock is a few minutes behind.
	start := time.Now().Add(-5 * time.Minute)
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    start,
		NotAfter:     start.Add(developmentCertLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usages,
	}
}

// writeKeyPair writes a certificate and its private key as PEM files.
func writeKeyPair(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(filepath.Join(dir, name+"-key.pem"), keyPEM, 0o600); err != nil {
		return err
	}
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return os.WriteFile(filepath.Join(dir, name+".pem"), certificatePEM, 0o600)
}
