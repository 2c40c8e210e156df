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

// certificateTTL is how long the certificates of a hollow fleet are valid.
const certificateTTL = 24 * time.Hour

// Authority issues the certificates of a hollow fleet, signed by the CA that pki.Init created.
// All certificates share one private key, which saves generating thousands of keys.
type Authority struct {
	certificate *x509.Certificate
	signer      *ecdsa.PrivateKey // the CA's key
	leafKey     *ecdsa.PrivateKey // of all issued certificates
	pool        *x509.CertPool    // the CA's certificate
}

// LoadAuthority reads the CA (ca.crt and ca.key) from a folder and generates the key of the
// certificates to issue. It returns an error if a file can't be read or parsed.
func LoadAuthority(folder string) (*Authority, error) {
	certificateBytes, err := readPEM(filepath.Join(folder, "ca.crt"))
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateBytes)
	if err != nil {
		return nil, fmt.Errorf("hollow: parse the CA's certificate: %w", err)
	}
	keyBytes, err := readPEM(filepath.Join(folder, "ca.key"))
	if err != nil {
		return nil, err
	}
	signer, err := x509.ParseECPrivateKey(keyBytes)
	if err != nil {
		return nil, fmt.Errorf("hollow: parse the CA's key: %w", err)
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("hollow: generate the key of the certificates: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, signer: signer, leafKey: leafKey, pool: pool}, nil
}

// readPEM returns the bytes of the first PEM block in a file.
func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("hollow: %s contains no PEM block", path)
	}
	return block.Bytes, nil
}

// issue returns a new certificate in DER form, valid for a TLS client and for a TLS server at the
// addresses, from a minute before now. serial must be unique among the CA's certificates.
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
		return nil, fmt.Errorf("hollow: create the certificate of %s: %w", name, err)
	}
	return certificate, nil
}

// Client returns the TLS configuration with which the named host connects to relays. serial must
// be unique among the CA's certificates. The certificate is valid from a minute before now.
func (a *Authority) Client(name string, serial int64, now time.Time) (*tls.Config, error) {
	certificate, err := a.issue(name, serial, nil, now)
	if err != nil {
		return nil, err
	}
	pair := tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: a.leafKey}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: a.pool}, nil
}

// WriteAgent writes the certificate and the key of an agent that listens at an address to NAME.crt
// and NAME.key in a folder. serial and now are as for Client.
func (a *Authority) WriteAgent(folder, name string, serial int64, address net.IP, now time.Time) error {
	certificate, err := a.issue(name, serial, []net.IP{address}, now)
	if err != nil {
		return err
	}
	key, err := x509.MarshalECPrivateKey(a.leafKey)
	if err != nil {
		return fmt.Errorf("hollow: encode the key of %s: %w", name, err)
	}
	path := filepath.Join(folder, name)
	return errors.Join(writePEM(path+".crt", "CERTIFICATE", certificate), writePEM(path+".key", "EC PRIVATE KEY", key))
}

// writePEM writes one PEM block to a file that only its owner may read.
func writePEM(path, kind string, bytes []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600)
}
