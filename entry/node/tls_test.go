package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// issuer is a certificate authority for tests.
type issuer struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newIssuer(t *testing.T, name string) *issuer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &issuer{t: t, cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write issues a certificate with the serial number into the folder.
func (i *issuer) write(dir string, serial int64) settings.TLS {
	i.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		i.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		i.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		i.t.Fatal(err)
	}
	files := map[string][]byte{
		"cert.pem": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		"key.pem":  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
		"ca.pem":   i.pem,
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			i.t.Fatal(err)
		}
	}
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	return settings.TLS{
		CallersCert: cert, CallersKey: keyFile,
		PeersCert: cert, PeersKey: keyFile, PeersCA: filepath.Join(dir, "ca.pem"),
	}
}

// lines counts log lines.
type lines struct{ infos, errors int }

func (l *lines) Info(string, ...any)  { l.infos++ }
func (l *lines) Error(string, ...any) { l.errors++ }

// serial is the serial number of a pair's certificate.
func serial(t *testing.T, pair *tls.Certificate) int64 {
	t.Helper()
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return cert.SerialNumber.Int64()
}

// TestCertificateIsRenewedWithoutARestart replaces the files, once by a good
// pair and once by rubbish.
func TestCertificateIsRenewedWithoutARestart(t *testing.T) {
	dir, ca := t.TempDir(), newIssuer(t, "ca")
	s := ca.write(dir, 11)
	log := &lines{}
	c, err := newCertificate(s.CallersCert, s.CallersKey, log)
	if err != nil {
		t.Fatal(err)
	}
	renew := func(change func(), later time.Duration) int64 {
		change()
		at := time.Now().Add(later)
		for _, name := range []string{s.CallersCert, s.CallersKey} {
			if err := os.Chtimes(name, at, at); err != nil {
				t.Fatal(err)
			}
		}
		c.checked = time.Time{} // the time of the next look has come
		return serial(t, c.current())
	}
	if got := renew(func() { ca.write(dir, 12) }, time.Minute); got != 12 {
		t.Errorf("serial %d after the renewal, want 12", got)
	}
	if got := renew(func() { _ = os.WriteFile(s.CallersCert, []byte("rubbish"), 0o600) }, 2*time.Minute); got != 12 {
		t.Errorf("serial %d after a bad renewal, want 12 still", got)
	}
	if got := renew(func() { ca.write(dir, 13) }, 3*time.Minute); got != 13 {
		t.Errorf("serial %d after the repair, want 13", got)
	}
	if log.infos != 2 || log.errors != 1 {
		t.Errorf("%d lines on renewals and %d on failures, want 2 and 1", log.infos, log.errors)
	}
}

// handler answers peers with nothing.
type handler struct{}

func (handler) Digest(string, *peerapi.Digest) *peerapi.Digest { return &peerapi.Digest{} }
func (handler) Document(uint64) *peerapi.Document              { return &peerapi.Document{Generation: 5} }

// TestPeersShowCertificatesOfTheAuthority lets a peer in whose certificate
// comes from the authority, and no other, although it knows the key.
func TestPeersShowCertificatesOfTheAuthority(t *testing.T) {
	ca, other := newIssuer(t, "ca"), newIssuer(t, "other")
	config := func(i *issuer, serial int64) *tls.Config {
		c, err := peersTLS(i.write(t.TempDir(), serial), &lines{})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := peer.NewServer(peer.ServerConfig{Instance: "server", Key: []byte("key"), Gossip: handler{}})
	go func() { done <- server.Serve(ctx, tls.NewListener(raw, config(ca, 2))) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	call := func(c *tls.Config) error {
		client := peer.NewClient(peer.ClientConfig{Instance: "client", Key: []byte("key"), TLS: c})
		defer client.Close()
		_, err := client.Document(t.Context(), peer.Target{Instance: "server", Address: raw.Addr().String()}, 1)
		return err
	}
	if err := call(config(ca, 3)); err != nil {
		t.Errorf("a peer of the authority: %v", err)
	}
	if err := call(config(other, 4)); err == nil {
		t.Error("a peer of another authority was let in")
	}
	if err := call(nil); err == nil {
		t.Error("a peer without TLS was let in")
	}
}

// TestNoTLSBySettings leaves both sides plain when no files are named.
func TestNoTLSBySettings(t *testing.T) {
	callers, err := callersTLS(settings.TLS{}, &lines{})
	if callers != nil || err != nil {
		t.Errorf("callers: %v, %v", callers, err)
	}
	peers, err := peersTLS(settings.TLS{}, &lines{})
	if peers != nil || err != nil {
		t.Errorf("peers: %v, %v", peers, err)
	}
	if _, err := callersTLS(settings.TLS{CallersCert: "missing.pem", CallersKey: "missing.pem"}, &lines{}); err == nil {
		t.Error("missing files are no error")
	}
}

// TestPlatformsAuthority trusts the platform's certificate by the settings'
// authority, and not by another.
func TestPlatformsAuthority(t *testing.T) {
	srv := httptest.NewTLSServer(http.NotFoundHandler())
	defer srv.Close()
	good := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw}
	if err := os.WriteFile(good, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "other.pem")
	if err := os.WriteFile(bad, newIssuer(t, "other").pem, 0o600); err != nil {
		t.Fatal(err)
	}
	for file, want := range map[string]bool{good: true, bad: false} {
		transport, err := platformTransport(settings.Platform{CAFile: file})
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: transport}
		resp, err := client.Get(srv.URL)
		if err == nil {
			_ = resp.Body.Close()
		}
		if (err == nil) != want {
			t.Errorf("%s: %v", filepath.Base(file), err)
		}
		client.CloseIdleConnections()
	}
}
