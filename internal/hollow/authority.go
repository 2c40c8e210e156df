package hollow

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

// certificateTTL is how long a hollow fleet's certificates are good for.
const certificateTTL = 24 * time.Hour

// Authority issues certificates of a fleet's CA that pki.Init made. One key serves all: it
// saves the time to make thousands of them.
type Authority struct {
	certificate *x509.Certificate
	signer      *ecdsa.PrivateKey
	leafKey     *ecdsa.PrivateKey
	pool        *x509.CertPool
}

// LoadAuthority reads the CA of a folder.
func LoadAuthority(folder string) (*Authority, error) {
	certificateBytes, err := readPEM(filepath.Join(folder, "ca.crt"))
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateBytes)
	if err != nil {
		return nil, fmt.Errorf("hollow: ca: %w", err)
	}
	keyBytes, err := readPEM(filepath.Join(folder, "ca.key"))
	if err != nil {
		return nil, err
	}
	signer, err := x509.ParseECPrivateKey(keyBytes)
	if err != nil {
		return nil, fmt.Errorf("hollow: ca: %w", err)
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("hollow: key: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, signer: signer, leafKey: leafKey, pool: pool}, nil
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("hollow: %s is no PEM file", path)
	}
	return block.Bytes, nil
}

// issue signs a certificate for an agent that dials and is dialled. serial must differ.
func (a *Authority) issue(name string, serial int64, addresses []net.IP, now time.Time) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(certificateTTL),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: addresses,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &a.leafKey.PublicKey, a.signer)
	if err != nil {
		return nil, fmt.Errorf("hollow: certificate of %s: %w", name, err)
	}
	return certificate, nil
}

// Client returns the TLS configuration by which the named host dials relays.
func (a *Authority) Client(name string, serial int64, now time.Time) (*tls.Config, error) {
	certificate, err := a.issue(name, serial, nil, now)
	if err != nil {
		return nil, err
	}
	pair := tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: a.leafKey}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: a.pool}, nil
}

// WriteAgent writes the certificate and the key of an agent at an address: NAME.crt and
// NAME.key in a folder.
func (a *Authority) WriteAgent(folder, name string, serial int64, address net.IP, now time.Time) error {
	certificate, err := a.issue(name, serial, []net.IP{address}, now)
	if err != nil {
		return err
	}
	key, err := x509.MarshalECPrivateKey(a.leafKey)
	if err != nil {
		return fmt.Errorf("hollow: key: %w", err)
	}
	path := filepath.Join(folder, name)
	return errors.Join(writePEM(path+".crt", "CERTIFICATE", certificate), writePEM(path+".key", "EC PRIVATE KEY", key))
}

func writePEM(path, kind string, bytes []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600)
}
