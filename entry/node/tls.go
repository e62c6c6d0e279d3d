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

// certificateCheckInterval is the minimum time between two checks of a certificate's
// files.
const certificateCheckInterval = 10 * time.Second

// reloadingCertificate is a key pair that is reloaded when its files change, so that it
// can be renewed without a restart. If the new files are invalid, the old pair stays
// in use.
type reloadingCertificate struct {
	certFile, keyFile string
	log               renewalLog

	mu            sync.Mutex
	pair          *tls.Certificate
	loadedModTime time.Time // modification time of the newer file
	lastCheck     time.Time
}

// renewalLog logs renewals of certificates; *telemetry.ComponentLog implements it.
type renewalLog interface {
	Info(msg string, pairs ...any)
	Error(msg string, pairs ...any)
}

// newReloadingCertificate loads the key pair.
func newReloadingCertificate(certFile, keyFile string, log renewalLog) (*reloadingCertificate, error) {
	c := &reloadingCertificate{certFile: certFile, keyFile: keyFile, log: log}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s: %w", certFile, err)
	}
	c.pair, c.loadedModTime, c.lastCheck = &pair, c.latestModTime(), time.Now()
	return c, nil
}

// latestModTime returns the modification time of the newer file; zero if either can't
// be read.
func (c *reloadingCertificate) latestModTime() time.Time {
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

// current returns the key pair, after reloading it if the files have changed.
func (c *reloadingCertificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < certificateCheckInterval {
		return c.pair
	}
	c.lastCheck = time.Now()
	modified := c.latestModTime()
	if modified.IsZero() || modified.Equal(c.loadedModTime) {
		return c.pair
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		c.log.Error("certificate was not renewed, the old one stays in use", "file", c.certFile, "err", err)
		return c.pair
	}
	c.pair, c.loadedModTime = &pair, modified
	c.log.Info("certificate was renewed", "file", c.certFile)
	return c.pair
}

// callerTLSConfig returns the TLS configuration for callers; nil for plain HTTP.
func callerTLSConfig(s settings.TLS, log renewalLog) (*tls.Config, error) {
	if s.CallersCert == "" {
		return nil, nil
	}
	cert, err := newReloadingCertificate(s.CallersCert, s.CallersKey, log)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.current(), nil },
	}, nil
}

// peerTLSConfig returns the TLS configuration between entries, used by client and
// server: both present a certificate issued by the peers' CA. The shared key
// authenticates the instance, so certificates don't have to name addresses, which
// change.
func peerTLSConfig(s settings.TLS, log renewalLog) (*tls.Config, error) {
	if s.PeersCert == "" {
		return nil, nil
	}
	cert, err := newReloadingCertificate(s.PeersCert, s.PeersKey, log)
	if err != nil {
		return nil, err
	}
	roots, err := readCertPool(s.PeersCA)
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
		// Host names are not verified; VerifyConnection verifies the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	}, nil
}

// verifyChain checks that the peer's certificate was issued by the CA.
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

// readCertPool reads CA certificates from a PEM file.
func readCertPool(file string) (*x509.CertPool, error) {
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

// platformTransport returns a transport that trusts the CA of the settings. It is nil
// if there is none: the client's default transport trusts the system's CAs.
func platformTransport(s settings.Platform) (http.RoundTripper, error) {
	if s.CAFile == "" {
		return nil, nil
	}
	roots, err := readCertPool(s.CAFile)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots},
		MaxIdleConnsPerHost: platform.DefaultConcurrency,
		IdleConnTimeout:     platformIdleTimeout,
	}, nil
}

// platformIdleTimeout is how long an idle connection to the platform is kept open.
const platformIdleTimeout = 90 * time.Second
