// Package elmkeys generates and loads the certificates with which the processes of
// one deployment authenticate each other by mutual TLS.
//
// # Usage
//
//	err := elmkeys.Generate("keys")
//	keys, err := elmkeys.Load("keys")
//	config := keys.ServerConfig()
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
	// Protocol is the ALPN protocol with its version. Both sides check it in
	// the TLS handshake.
	Protocol = "elmcove/1"

	peerName        = "elmcove.internal"
	validity        = 365 * 24 * time.Hour
	authorityFile   = "ca.pem"
	certificateFile = "node.pem"
	privateKeyFile  = "node.key"
)

// ErrKeys reports certificates that can't be generated or loaded.
var ErrKeys = errors.New("certificates")

// Keys holds the certificate of a process and the authority that must have signed
// the certificates of its peers.
type Keys struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the certificates in a folder.
func Load(folder string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, certificateFile), filepath.Join(folder, privateKeyFile))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	ca, err := os.ReadFile(filepath.Join(folder, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("%w: no certificate in %s", ErrKeys, authorityFile)
	}
	return &Keys{pair: pair, roots: roots}, nil
}

// ServerConfig returns the TLS configuration for accepting links. Peers must present a
// certificate.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.roots,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// ClientConfig returns the TLS configuration for dialling links.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.pair},
		RootCAs:      k.roots,
		ServerName:   peerName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// Generate creates a certificate authority and a certificate signed by it, and writes
// them to a folder. The private key of the authority is not stored.
func Generate(folder string) error {
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
	return writeFiles(folder, caDER, nodeDER, keyDER)
}

// writeFiles writes the certificates and the private key as PEM files.
func writeFiles(folder string, caDER, nodeDER, keyDER []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("%w: %w", ErrKeys, err)
	}
	blocks := []struct {
		name  string
		block *pem.Block
	}{
		{authorityFile, &pem.Block{Type: "CERTIFICATE", Bytes: caDER}},
		{certificateFile, &pem.Block{Type: "CERTIFICATE", Bytes: nodeDER}},
		{privateKeyFile, &pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}},
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
