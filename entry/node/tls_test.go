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

// testCA is a certificate authority.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestCA(t *testing.T, name string) *testCA {
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
	return &testCA{t: t, cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// writeCertificate issues a certificate with the serial number and writes its files to dir.
func (i *testCA) writeCertificate(dir string, serial int64) settings.TLS {
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

// countingLog is a renewalLog that counts lines.
type countingLog struct{ infos, errors int }

func (l *countingLog) Info(string, ...any)  { l.infos++ }
func (l *countingLog) Error(string, ...any) { l.errors++ }

// serialNumber returns the serial number of a pair's certificate.
func serialNumber(t *testing.T, pair *tls.Certificate) int64 {
	t.Helper()
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return cert.SerialNumber.Int64()
}

// TestCertificateIsRenewedWithoutARestart replaces the files by a valid pair, by an
// invalid certificate, which must leave the old pair in use, and by a valid pair again.
func TestCertificateIsRenewedWithoutARestart(t *testing.T) {
	dir, ca := t.TempDir(), newTestCA(t, "ca")
	s := ca.writeCertificate(dir, 11)
	log := &countingLog{}
	c, err := newReloadingCertificate(s.CallersCert, s.CallersKey, log)
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
		c.lastCheck = time.Time{} // the next call checks the files
		return serialNumber(t, c.current())
	}
	if got := renew(func() { ca.writeCertificate(dir, 12) }, time.Minute); got != 12 {
		t.Errorf("serial %d after the renewal, want 12", got)
	}
	if got := renew(func() { _ = os.WriteFile(s.CallersCert, []byte("rubbish"), 0o600) }, 2*time.Minute); got != 12 {
		t.Errorf("serial %d after a bad renewal, want 12 still", got)
	}
	if got := renew(func() { ca.writeCertificate(dir, 13) }, 3*time.Minute); got != 13 {
		t.Errorf("serial %d after the repair, want 13", got)
	}
	if log.infos != 2 || log.errors != 1 {
		t.Errorf("%d lines on renewals and %d on failures, want 2 and 1", log.infos, log.errors)
	}
}

// emptyHandler answers peers with an empty digest and a document without content.
type emptyHandler struct{}

func (emptyHandler) Digest(string, *peerapi.Digest) *peerapi.Digest { return &peerapi.Digest{} }
func (emptyHandler) Document(uint64) *peerapi.Document              { return &peerapi.Document{Generation: 5} }

// TestPeersNeedCertificateFromCA checks that a peer is accepted only with a
// certificate from the CA, even if it knows the shared key.
func TestPeersNeedCertificateFromCA(t *testing.T) {
	ca, other := newTestCA(t, "ca"), newTestCA(t, "other")
	config := func(i *testCA, serial int64) *tls.Config {
		c, err := peerTLSConfig(i.writeCertificate(t.TempDir(), serial), &countingLog{})
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
	server := peer.NewServer(peer.ServerConfig{Instance: "server", Key: []byte("key"), Gossip: emptyHandler{}})
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

// TestTLSIsOffWithoutFiles checks that TLS is off when the settings name no files, and
// that missing files are an error.
func TestTLSIsOffWithoutFiles(t *testing.T) {
	callers, err := callerTLSConfig(settings.TLS{}, &countingLog{})
	if callers != nil || err != nil {
		t.Errorf("callers: %v, %v", callers, err)
	}
	peers, err := peerTLSConfig(settings.TLS{}, &countingLog{})
	if peers != nil || err != nil {
		t.Errorf("peers: %v, %v", peers, err)
	}
	if _, err := callerTLSConfig(settings.TLS{CallersCert: "missing.pem", CallersKey: "missing.pem"}, &countingLog{}); err == nil {
		t.Error("missing files are no error")
	}
}

// TestPlatformTransportTrustsOnlyConfiguredCA connects with the CA of the platform's
// certificate and with another.
func TestPlatformTransportTrustsOnlyConfiguredCA(t *testing.T) {
	srv := httptest.NewTLSServer(http.NotFoundHandler())
	defer srv.Close()
	good := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw}
	if err := os.WriteFile(good, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "other.pem")
	if err := os.WriteFile(bad, newTestCA(t, "other").pem, 0o600); err != nil {
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
