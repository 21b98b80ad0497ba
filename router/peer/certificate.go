// Package peer speaks to the other instances: forwarded requests over QUIC.
package peer

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"
)

const (
	protocol            = "bronzewind/1"
	certificateLifetime = 10 * 365 * 24 * time.Hour
)

// Identity is the key of one run of an instance. Peers know it by its
// fingerprint, which the log keeps.
type Identity struct {
	certificate tls.Certificate
}

// NewIdentity returns a fresh identity.
func NewIdentity() (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "bronzewind instance"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return &Identity{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// Fingerprint returns the SHA-256 of the certificate.
func (i *Identity) Fingerprint() []byte {
	return fingerprint(i.certificate.Certificate[0])
}

func fingerprint(certificate []byte) []byte {
	sum := sha256.Sum256(certificate)
	return sum[:]
}

// tlsConfig returns a configuration that takes only peers whose fingerprint
// trusted accepts.
func (i *Identity) tlsConfig(trusted func(fingerprint []byte) bool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.certificate},
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // the fingerprint is checked instead of a chain
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 {
				return errors.New("peer sent no certificate")
			}
			if !trusted(fingerprint(raw[0])) {
				return errors.New("peer's certificate is not in the log")
			}
			return nil
		},
	}
}

// only returns a check that accepts one fingerprint.
func only(want []byte) func([]byte) bool {
	return func(got []byte) bool { return bytes.Equal(got, want) }
}
