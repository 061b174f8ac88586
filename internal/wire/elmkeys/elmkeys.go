// Package elmkeys makes and loads the certificates with which the processes of
// one deployment know each other.
//
// # Usage
//
//	err := elmkeys.Make("keys")
//	keys, err := elmkeys.Load("keys")
//	config := keys.Server()
package elmkeys

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
	"os"
	"path/filepath"
	"time"
)

const (
	// Protocol is the application protocol and its version, which both sides
	// check in the TLS handshake.
	Protocol = "elmcove/1"

	peerName    = "elmcove.internal"
	validity    = 365 * 24 * time.Hour
	authority   = "ca.pem"
	certificate = "node.pem"
	privateKey  = "node.key"
)

// ErrKeys reports certificates that can't be made or loaded.
var ErrKeys = errors.New("certificates")

// Keys holds a certificate and the authority that all peers must be signed by.
type Keys struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the certificates in a folder.
func Load(folder string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, certificate), filepath.Join(folder, privateKey))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	ca, err := os.ReadFile(filepath.Join(folder, authority))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("%w: no certificate in %s", ErrKeys, authority)
	}
	return &Keys{pair: pair, roots: roots}, nil
}

// Server returns the settings for the side that accepts links.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.roots,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// Client returns the settings for the side that dials links.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.pair},
		RootCAs:      k.roots,
		ServerName:   peerName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// Make writes a new authority and a certificate signed by it into a folder.
// The private key of the authority is not kept.
func Make(folder string) error {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	nodeKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	ca := authorityTemplate()
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	nodeDER, err := x509.CreateCertificate(rand.Reader, nodeTemplate(), ca, &nodeKey.PublicKey, caKey)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(nodeKey)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	return writeAll(folder, caDER, nodeDER, keyDER)
}

func writeAll(folder string, caDER, nodeDER, keyDER []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	blocks := []struct {
		name  string
		block *pem.Block
	}{
		{authority, &pem.Block{Type: "CERTIFICATE", Bytes: caDER}},
		{certificate, &pem.Block{Type: "CERTIFICATE", Bytes: nodeDER}},
		{privateKey, &pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}},
	}
	for _, b := range blocks {
		if err := os.WriteFile(filepath.Join(folder, b.name), pem.EncodeToMemory(b.block), 0o600); err != nil {
			return fmt.Errorf("%w: %w", ErrKeys, err)
		}
	}
	return nil
}

func authorityTemplate() *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "elmcove development authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
}

func nodeTemplate() *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "elmcove node"},
		DNSNames:     []string{peerName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}
