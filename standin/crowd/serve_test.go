package crowd

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// Limits of an instance of the product's own interface.
const (
	serveMemory      = 128 << 20
	serveDescriptors = 400
	serveBody        = 262_144
)

// serveSettings is the settings file of such an instance.
const serveSettings = `instance = "entry-0"
zone = "zone-a"

[listen]
callers = %q
operators = %q
peers = %q

[platform]
address = %q
token = %q

[peer]
key = "a-secret-of-all-entries"

[limits]
body_bytes = 262144
read_timeout = "3s"
idle_timeout = "15s"
connections = 200
memory_bytes = 16777216
%s`

// served is such an instance.
type served struct {
	*process
	callers, operators, peers string
	// scheme is that of all URLs, and client sends requests to them.
	scheme string
	client *http.Client
}

// startServed starts the stand-ins and one instance, and waits until it serves.
func startServed(t *testing.T) *served {
	t.Helper()
	return startServedWith(t, "")
}

// startServedWith is startServed with more settings. Callers use TLS if there are some.
func startServedWith(t *testing.T, more string) *served {
	t.Helper()
	ports, err := site.FreePorts(8)
	if err != nil {
		t.Fatal(err)
	}
	doc := samples.Generate(samples.Sizes{
		Site: "crowd", BasePort: ports, Zones: []string{"zone-a"},
		Upstreams: []samples.UpstreamSizes{{Name: "titles", Shards: 2, Replicas: 1, Slots: 4, ConnectionLimit: 50}},
		Services: []document.Service{
			{Name: "ask", Upstreams: []string{"titles"}, Deadline: 4 * time.Second, Idempotent: true, HedgeQuantile: 0.95},
		},
		Callers: []document.Caller{
			{Name: "desk", TokenSHA256: samples.TokenSHA256("desk"), Share: 1, Services: []string{"ask"}, Operator: true},
			{Name: "crowd", TokenSHA256: samples.TokenSHA256("crowd"), Share: 1, Services: []string{"ask"}},
		},
	})
	dir := t.TempDir()
	others, err := site.Start(site.Options{
		Dir: dir, Binaries: site.Binaries{Fuchsiaroad: program, Fuchsiactl: control}, Document: doc,
		Leaf: leaf.Settings{Queue: 64, Seed: 1, Service: leaf.Service{MeanUS: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = others.Close() })
	addresses, err := hosted.FreeAddresses(nextIP(), 3)
	if err != nil {
		t.Fatal(err)
	}
	s := &served{callers: addresses[0], operators: addresses[1], peers: addresses[2], scheme: "http://"}
	s.client = newClient()
	if more != "" {
		s.scheme = "https://"
		s.client.Transport = &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	}
	path := filepath.Join(dir, "entry-0.toml")
	text := fmt.Sprintf(serveSettings, s.callers, s.operators, s.peers, others.PlatformURL, site.PlatformToken, more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = startProcess(t, []string{"serve", "--settings", path}, nil, addresses)
	await(t, "the first answer", s.isServed)
	return s
}

// isServed reports whether an ordinary caller's query is served.
func (s *served) isServed() bool {
	req, err := http.NewRequest(http.MethodPost, s.scheme+s.callers+"/v1/services/ask/query", strings.NewReader(strings.Repeat("o", ordinaryBody)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token("desk"))
	return statusBy(s.client, req) == http.StatusOK
}

// isConfigServed reports whether an operator's request is served.
func (s *served) isConfigServed() bool {
	req, err := http.NewRequest(http.MethodGet, s.scheme+s.operators+"/v1/config", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token("desk"))
	return statusBy(s.client, req) == http.StatusOK
}

// TestCrowdOfCallers has each kind of client come in a crowd to the callers' listener.
func TestCrowdOfCallers(t *testing.T) {
	for _, kind := range Kinds {
		t.Run(strings.ReplaceAll(kind.Name, " ", "_"), func(t *testing.T) {
			s := startServed(t)
			target := Target{
				Address: s.callers, Request: "POST /v1/services/ask/query HTTP/1.1",
				Fields:    "Host: " + s.callers + "\r\nAuthorization: Bearer " + samples.Token("crowd") + "\r\n",
				HeadBytes: limits.HeaderBytes - 100, BodyBytes: serveBody,
			}
			besideAndAfter(t, Start(kind, target, crowdSize), func() bool { return s.isServed() && s.isConfigServed() })
			s.check(serveMemory, serveDescriptors)
		})
	}
}

// TestCrowdAtOperators has crowds come to the operators' listener.
func TestCrowdAtOperators(t *testing.T) {
	for _, name := range append(otherListeners, "bodies in one chunk just short of its end") {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := startServed(t)
			target := Target{
				Address: s.operators, Request: "PUT /v1/config?if_version=1 HTTP/1.1",
				Fields:    "Host: " + s.operators + "\r\nAuthorization: Bearer " + samples.Token("desk") + "\r\n",
				HeadBytes: limits.HeaderBytes - 100, BodyBytes: 700_000,
			}
			besideAndAfter(t, Start(kindNamed(t, name), target, crowdSize), func() bool { return s.isServed() && s.isConfigServed() })
			s.check(serveMemory, serveDescriptors)
		})
	}
}

// writeCertificate writes a certificate and its key, and returns the settings that name them.
func writeCertificate(t *testing.T) string {
	t.Helper()
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: pair.Certificate[0]}, keyFile: {Type: "PRIVATE KEY", Bytes: key}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("[tls]\ncallers_cert = %q\ncallers_key = %q\n", cert, keyFile)
}

// TestCrowdOfCallersWithTLS has crowds with TLS, and one without, come to callers' address with TLS.
func TestCrowdOfCallersWithTLS(t *testing.T) {
	for _, tc := range []struct {
		kind     string
		plainTCP bool
	}{
		{kind: "silent connections", plainTCP: true}, {kind: "heads without end", plainTCP: true},
		{kind: "silent connections"}, {kind: "heads without end"}, {kind: "bodies just short of their length"}, {kind: "bodies in one chunk just short of its end"},
	} {
		t.Run(fmt.Sprintf("%s/plain_%v", strings.ReplaceAll(tc.kind, " ", "_"), tc.plainTCP), func(t *testing.T) {
			s := startServedWith(t, writeCertificate(t))
			target := Target{
				Address: s.callers, Request: "POST /v1/services/ask/query HTTP/1.1",
				Fields:    "Host: " + s.callers + "\r\nAuthorization: Bearer " + samples.Token("crowd") + "\r\n",
				HeadBytes: limits.HeaderBytes - 100, BodyBytes: serveBody,
			}
			if !tc.plainTCP {
				target.TLS = &tls.Config{InsecureSkipVerify: true}
			}
			besideAndAfter(t, Start(kindNamed(t, tc.kind), target, crowdSize), func() bool { return s.isServed() && s.isConfigServed() })
			s.check(serveMemory, serveDescriptors)
		})
	}
}

// TestCrowdAtConsole has crowds send forms to the console's login page.
func TestCrowdAtConsole(t *testing.T) {
	for _, name := range []string{"bodies just short of their length", "bodies in chunks of one byte just short of their end", "whole bodies"} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := startServed(t)
			target := Target{
				Address: s.operators, Request: "POST /console/login HTTP/1.1",
				Fields:    "Host: " + s.operators + "\r\nContent-Type: application/x-www-form-urlencoded\r\n",
				HeadBytes: limits.HeaderBytes - 100, BodyBytes: 16 << 10,
			}
			besideAndAfter(t, Start(kindNamed(t, name), target, crowdSize), func() bool { return s.isServed() && s.isConfigServed() })
			s.check(serveMemory, serveDescriptors)
		})
	}
}

// TestCrowdAtPeersOfServed is TestCrowdAtPeers with the product's own interface.
func TestCrowdAtPeersOfServed(t *testing.T) {
	for name, script := range peerScripts {
		t.Run(name, func(t *testing.T) {
			s := startServed(t)
			kind := Kind{Name: name, Script: func(Target) Script { return script }}
			besideAndAfter(t, Start(kind, Target{Address: s.peers}, crowdSize), s.isServed)
			s.check(serveMemory, serveDescriptors)
		})
	}
}
