package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
)

// certificateCheck is how often a certificate's files are looked at.
const certificateCheck = 10 * time.Second

// certificate is a key pair that is read again when its files change, so that
// it is renewed without a restart. If the new files are not good, the old pair
// stays in use.
type certificate struct {
	certFile, keyFile string
	log               certificateLog

	mu      sync.Mutex
	pair    *tls.Certificate
	changed time.Time // the newer file's time
	checked time.Time
}

// certificateLog takes the lines on renewals; *telemetry.ComponentLog is one.
type certificateLog interface {
	Info(msg string, pairs ...any)
	Error(msg string, pairs ...any)
}

// newCertificate reads the pair for the first time.
func newCertificate(certFile, keyFile string, log certificateLog) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile, log: log}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s: %w", certFile, err)
	}
	c.pair, c.changed, c.checked = &pair, c.modified(), time.Now()
	return c, nil
}

// modified is the newer of the two files' times; zero if one can't be seen.
func (c *certificate) modified() time.Time {
	var newest time.Time
	for _, name := range []string{c.certFile, c.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the pair, read again if the files have changed.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < certificateCheck {
		return c.pair
	}
	c.checked = time.Now()
	modified := c.modified()
	if modified.IsZero() || modified.Equal(c.changed) {
		return c.pair
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		c.log.Error("certificate was not renewed, the old one stays in use", "file", c.certFile, "err", err)
		return c.pair
	}
	c.pair, c.changed = &pair, modified
	c.log.Info("certificate was renewed", "file", c.certFile)
	return c.pair
}

// callersTLS is the configuration towards callers; nil for plain HTTP.
func callersTLS(s settings.TLS, log certificateLog) (*tls.Config, error) {
	if s.CallersCert == "" {
		return nil, nil
	}
	cert, err := newCertificate(s.CallersCert, s.CallersKey, log)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.current(), nil },
	}, nil
}

// peersTLS is the configuration among entries, the same for both sides: each
// shows a certificate of the peers' authority. The instance is proved by the
// shared key, so that certificates need not carry changing addresses.
func peersTLS(s settings.TLS, log certificateLog) (*tls.Config, error) {
	if s.PeersCert == "" {
		return nil, nil
	}
	cert, err := newCertificate(s.PeersCert, s.PeersKey, log)
	if err != nil {
		return nil, err
	}
	roots, err := authority(s.PeersCA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.current(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.current(), nil },
		ClientAuth:           tls.RequireAndVerifyClientCert,
		ClientCAs:            roots,
		RootCAs:              roots,
		// Names are not compared: VerifyConnection checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	}, nil
}

// verifyChain checks that the other side's certificate comes from the authority.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("peer's certificate: %w", err)
	}
	return nil
}

// authority reads a pool of certificates.
func authority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read authority %s: no certificate in it", file)
	}
	return pool, nil
}

// platformTransport trusts the authority of the settings; nil is the client's
// own transport, which trusts the system's.
func platformTransport(s settings.Platform) (http.RoundTripper, error) {
	if s.CAFile == "" {
		return nil, nil
	}
	roots, err := authority(s.CAFile)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots},
		MaxIdleConnsPerHost: platform.DefaultConcurrency,
		IdleConnTimeout:     platformIdle,
	}, nil
}

// platformIdle is how long an unused connection to the platform is kept.
const platformIdle = 90 * time.Second
