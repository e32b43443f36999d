package service

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"indigospool/internal/controlplane/configversion"
)

// testAuthority signs certificates for a test.
type testAuthority struct {
	t      *testing.T
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T, name string) *testAuthority {
	authority := &testAuthority{t: t, serial: 1}
	authority.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &authority.key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	authority.cert, _ = x509.ParseCertificate(der)
	return authority
}

// issue writes a certificate for a name, and its key, to files.
func (a *testAuthority) issue(files *CertificateFiles, name string, until time.Duration) {
	a.serial++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(until),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	write := func(file, kind string, b []byte) {
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	write(files.Cert, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", keyDER)
	if _, err := os.Stat(files.Authorities); err != nil {
		write(files.Authorities, "CERTIFICATE", a.cert.Raw)
	}
}

func (a *testAuthority) certificateFiles(dir, name, cert string, until time.Duration) *CertificateFiles {
	files := &CertificateFiles{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Authorities: filepath.Join(dir, name+".ca")}
	a.issue(files, cert, until)
	return files
}

// Both sides present certificates. An expired certificate, a wrong name and a wrong
// authority are each rejected with the reason, and renewed files are used without a
// restart.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	good, other := newAuthority(t, "good"), newAuthority(t, "other")
	serverFiles := good.certificateFiles(dir, "svc", "control.example.org", time.Hour)
	var mu sync.Mutex
	var rejections []string
	serverFiles.Warn = func(text string) {
		mu.Lock()
		defer mu.Unlock()
		rejections = append(rejections, text)
	}
	if err := serverFiles.Load(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Name: "svc", Store: &memoryStateStore{}, TickInterval: 10 * time.Millisecond}, grpc.Creds(serverFiles.ServerCredentials()))
	go server.Serve(listener)
	defer server.Stop()
	server.PushUnchecked(settingsText(3, ""), true)
	connect := func(certificates *CertificateFiles, service string) *testRouter {
		router := &testRouter{}
		router.Agent = StartAgent(AgentConfig{Router: strings.TrimSuffix(filepath.Base(certificates.Cert), ".pem"), Services: []string{listener.Addr().String()}, Backoff: 20 * time.Millisecond,
			DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(certificates.ClientCredentials(service))},
			OnActivate:  func(configversion.Activate) { router.activations.Add(1) },
			Warn:        router.warn})
		t.Cleanup(router.Close)
		return router
	}
	warned := func(router *testRouter, what string) func() bool {
		return func() bool {
			router.mu.Lock()
			defer router.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			return strings.Contains(strings.Join(router.warnings, "\n")+strings.Join(rejections, "\n"), what)
		}
	}
	router := connect(good.certificateFiles(dir, "r1", "r1", time.Hour), "control.example.org")
	waitFor(t, "a router with a good certificate", allRunning([]*testRouter{router}, 1))
	for _, c := range []struct {
		name, want string
		files      *CertificateFiles
		service    string
	}{
		{"wrong name", "not another.example.org", good.certificateFiles(dir, "r2", "r2", time.Hour), "another.example.org"},
		{"expired router", "certificate has expired", good.certificateFiles(dir, "r3", "r3", -time.Hour), "control.example.org"},
		{"wrong authority", "signed by unknown authority", other.certificateFiles(dir, "r4", "r4", time.Hour), "control.example.org"},
	} {
		bad := connect(c.files, c.service)
		waitFor(t, c.name, warned(bad, c.want))
		if n := bad.activations.Load(); n > 0 {
			t.Errorf("%s: %d versions were activated, want none", c.name, n)
		}
		bad.Close()
	}
	// a valid certificate is accepted for its own router only
	impostor := startRouterWith(t, AgentConfig{Router: "r9", Services: []string{listener.Addr().String()},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(good.certificateFiles(dir, "r1", "r1", time.Hour).ClientCredentials("control.example.org"))}})
	waitFor(t, "the rejection of another router's name", warned(impostor, `is not valid for router "r9"`))
	impostor.Close()
	// a router whose expired certificate is renewed connects without a restart
	renewed := good.certificateFiles(dir, "r5", "r5", -time.Hour)
	renewedRouter := connect(renewed, "control.example.org")
	waitFor(t, "the rejection of the expired certificate", warned(renewedRouter, `certificate of "r5"`))
	time.Sleep(20 * time.Millisecond) // gives the renewed files another modification time
	good.issue(renewed, "r5", time.Hour)
	waitFor(t, "the renewed router", allRunning([]*testRouter{renewedRouter}, 1))
}

// If changed files can't be read, the certificates read before stay in use.
func TestUnreadableCertificateFiles(t *testing.T) {
	dir := t.TempDir()
	certificates := newAuthority(t, "a").certificateFiles(dir, "x", "x", time.Hour)
	if err := certificates.Load(); err != nil {
		t.Fatal(err)
	}
	var warning string
	certificates.Warn = func(s string) { warning = s }
	os.WriteFile(certificates.Cert, []byte("damaged"), 0o600)
	os.Chtimes(certificates.Cert, time.Now(), time.Now().Add(time.Minute))
	certificates.checkedAt = time.Time{}
	if loaded, err := certificates.current(false); err != nil || loaded == nil || !strings.Contains(warning, "stay in force") {
		t.Errorf("damaged file: certificates %v, error %v, warning %q; want the earlier certificates and \"stay in force\"", loaded, err, warning)
	}
	if err := (&CertificateFiles{Cert: "nowhere", Key: "x", Authorities: "x"}).Load(); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Errorf("missing file: %v, want an error that names it", err)
	}
}
