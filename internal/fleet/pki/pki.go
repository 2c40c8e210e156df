// Package pki issues the certificates with which a fleet can start: a certificate
// authority, certificates of agents by host name, and those of operators with a role. It
// never overwrites a file. It does not renew or revoke certificates.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// How long certificates are valid.
const (
	CAValidity   = 10 * 365 * 24 * time.Hour
	LeafValidity = 397 * 24 * time.Hour
)

// LoadTLS returns the configuration that both sides of a connection in the fleet share:
// their own certificate, and the CA that must have issued the other's.
func LoadTLS(ca, cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("tls: ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: ca: %s holds no certificate", ca)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}, nil
}

// serial returns a random serial number.
func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system has no random numbers
	}
	return n
}

// Init creates a CA in a folder: ca.crt and ca.key.
func Init(dir string, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "martendrum fleet CA"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(CAValidity),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return issue(dir, "ca", t, nil, nil)
}

// Agent issues the certificate of an agent that is reached at these host names or addresses
// and calls relays under its own name. It has no role: relays check the name only.
func Agent(dir, name string, hosts []string, now time.Time) error {
	t := leaf(name, now)
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, h)
		}
	}
	return issueSigned(dir, name, t)
}

// Operator issues the certificate of a caller with a role.
func Operator(dir, name, role string, now time.Time) error {
	t := leaf(name, now)
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	t.Subject.OrganizationalUnit = []string{role}
	return issueSigned(dir, name, t)
}

// leaf returns the template that the certificates of agents and operators share.
func leaf(name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(LeafValidity), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

// issueSigned issues a certificate that the folder's CA signs.
func issueSigned(dir, name string, t *x509.Certificate) error {
	if filepath.Base(name) != name || name == "ca" {
		return fmt.Errorf("ca: %q can't be a certificate's name", name)
	}
	certificate, err := readPEM(filepath.Join(dir, "ca.crt"))
	if err != nil {
		return err
	}
	ca, err := x509.ParseCertificate(certificate)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	private, err := readPEM(filepath.Join(dir, "ca.key"))
	if err != nil {
		return err
	}
	key, err := x509.ParseECPrivateKey(private)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	return issue(dir, name, t, ca, key)
}

// readPEM returns the content of the first block of a PEM file.
func readPEM(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("ca: %s is not there: `martendrum ca init` first", path)
	}
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, fmt.Errorf("ca: %s is no PEM file", path)
	}
	return block.Bytes, nil
}

// issue creates a key and a certificate and writes both. Without a parent the certificate
// is signed by its own key.
func issue(dir, name string, t, parent *x509.Certificate, by *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	if parent == nil {
		parent, by = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, by)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	if err := write(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", private, 0o600); err != nil {
		return err
	}
	return write(filepath.Join(dir, name+".crt"), "CERTIFICATE", der, 0o644)
}

// write creates a PEM file and syncs it.
func write(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	err = pem.Encode(f, &pem.Block{Type: kind, Bytes: der})
	return errors.Join(err, f.Sync(), f.Close())
}
