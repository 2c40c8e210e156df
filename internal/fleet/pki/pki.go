// Package pki issues the certificates that a new fleet needs: that of a certificate authority
// (CA), those of agents with their host names, and those of operators with their roles. It
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

// Validity of the CA's certificate, and of those of agents and operators.
const (
	CAValidity   = 10 * 365 * 24 * time.Hour
	LeafValidity = 397 * 24 * time.Hour
)

// LoadTLS reads three PEM files and returns the TLS configuration that both sides of a
// connection in the fleet share: their own certificate and key, and, in RootCAs, the CA that
// must have issued the certificate of the other side.
func LoadTLS(ca, cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	caPEM, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("tls: ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("tls: ca: %s contains no certificate", ca)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}, nil
}

// serial returns a random serial number of 120 bits.
func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system's random number generator failed
	}
	return n
}

// Init creates a CA in a folder: the files ca.crt and ca.key. It creates the folder if it does
// not exist, and returns an error if one of the files does.
func Init(dir string, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "martendrum fleet CA"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(CAValidity),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return issue(dir, "ca", template, nil, nil)
}

// Agent issues the certificate of an agent that is reached at the given host names or IP
// addresses. The agent also uses it to call relays, under its own name. The certificate has
// no role, because relays check the name only. The files are NAME.crt and NAME.key in the
// folder of the CA.
func Agent(dir, name string, hosts []string, now time.Time) error {
	template := leaf(name, now)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, h)
		}
	}
	return issueSigned(dir, name, template)
}

// Operator issues the certificate of an operator with a role, api.View or api.Operate. The
// files are NAME.crt and NAME.key in the folder of the CA.
func Operator(dir, name, role string, now time.Time) error {
	template := leaf(name, now)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	template.Subject.OrganizationalUnit = []string{role}
	return issueSigned(dir, name, template)
}

// leaf returns the template that the certificates of agents and operators share.
func leaf(name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(LeafValidity), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

// issueSigned issues a certificate that is signed by the CA in the folder.
func issueSigned(dir, name string, template *x509.Certificate) error {
	if filepath.Base(name) != name || name == "ca" {
		return fmt.Errorf("ca: %q can't be the name of a certificate", name)
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
	return issue(dir, name, template, ca, key)
}

// readPEM returns the content of the first block of a PEM file.
func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("ca: %s does not exist: run `martendrum ca init` first", path)
	}
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("ca: %s is not a PEM file", path)
	}
	return block.Bytes, nil
}

// issue creates a key, and a certificate that the parent's key signs, and writes both to files.
// If parent is nil, the certificate is signed by its own key.
func issue(dir, name string, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
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

// write creates a PEM file with one block and syncs it. It returns an error if the file exists.
func write(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	err = pem.Encode(f, &pem.Block{Type: kind, Bytes: der})
	return errors.Join(err, f.Sync(), f.Close())
}
