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
	a := &testAuthority{t: t, serial: 1}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	return a
}

// issue writes a certificate for a name into the files of keys.
func (a *testAuthority) issue(k *CertificateFiles, name string, until time.Duration) {
	a.serial++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(until),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	kder, _ := x509.MarshalECPrivateKey(key)
	write := func(file, kind string, b []byte) {
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	write(k.Cert, "CERTIFICATE", der)
	write(k.Key, "EC PRIVATE KEY", kder)
	if _, err := os.Stat(k.Authorities); err != nil {
		write(k.Authorities, "CERTIFICATE", a.cert.Raw)
	}
}

func (a *testAuthority) certificateFiles(dir, name, cert string, until time.Duration) *CertificateFiles {
	k := &CertificateFiles{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Authorities: filepath.Join(dir, name+".ca")}
	a.issue(k, cert, until)
	return k
}

// Both sides show certificates; expired ones, a wrong name and a wrong
// authority are each turned away with the reason; new files are used without a
// restart.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	good, other := newAuthority(t, "good"), newAuthority(t, "other")
	serverKeys := good.certificateFiles(dir, "svc", "control.example.org", time.Hour)
	var mu sync.Mutex
	var turned []string
	serverKeys.Warn = func(s string) { mu.Lock(); turned = append(turned, s); mu.Unlock() }
	if err := serverKeys.Load(); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{Name: "svc", Store: &memoryStateStore{}, TickInterval: 10 * time.Millisecond}, grpc.Creds(serverKeys.ServerCredentials()))
	go s.Serve(ln)
	defer s.Stop()
	s.PushUnchecked(settingsText(3, ""), true)
	connect := func(k *CertificateFiles, service string) *testRouter {
		r := &testRouter{}
		r.Agent = StartAgent(AgentConfig{Router: strings.TrimSuffix(filepath.Base(k.Cert), ".pem"), Services: []string{ln.Addr().String()}, Backoff: 20 * time.Millisecond,
			DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(k.ClientCredentials(service))},
			Use:         func(configversion.Activate) { r.uses.Add(1) },
			Warn:        func(s string) { r.mu.Lock(); r.warnings = append(r.warnings, s); r.mu.Unlock() }})
		t.Cleanup(r.Close)
		return r
	}
	heard := func(r *testRouter, what string) func() bool {
		return func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			return strings.Contains(strings.Join(r.warnings, "\n")+strings.Join(turned, "\n"), what)
		}
	}
	r := connect(good.certificateFiles(dir, "r1", "r1", time.Hour), "control.example.org")
	eventually(t, "a router with good keys", allRunning([]*testRouter{r}, 1))
	for _, c := range []struct {
		name, want string
		k          *CertificateFiles
		service    string
	}{
		{"wrong name", "not another.example.org", good.certificateFiles(dir, "r2", "r2", time.Hour), "another.example.org"},
		{"expired router", "certificate has expired", good.certificateFiles(dir, "r3", "r3", -time.Hour), "control.example.org"},
		{"wrong authority", "signed by unknown authority", other.certificateFiles(dir, "r4", "r4", time.Hour), "control.example.org"},
	} {
		bad := connect(c.k, c.service)
		eventually(t, c.name, heard(bad, c.want))
		if n := bad.uses.Load(); n > 0 {
			t.Errorf("%s: a version came through", c.name)
		}
		bad.Close()
	}
	// a good certificate speaks for its own router only
	posing := startRouterWith(t, AgentConfig{Router: "r9", Services: []string{ln.Addr().String()},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(good.certificateFiles(dir, "r1", "r1", time.Hour).ClientCredentials("control.example.org"))}})
	eventually(t, "another router's name", heard(posing, `does not speak for router "r9"`))
	posing.Close()
	// the expired router gets a new certificate, and comes in without a restart
	late := good.certificateFiles(dir, "r5", "r5", -time.Hour)
	r5 := connect(late, "control.example.org")
	eventually(t, "its refusal", heard(r5, `certificate of "r5"`))
	time.Sleep(20 * time.Millisecond) // another time of change
	good.issue(late, "r5", time.Hour)
	eventually(t, "the renewed router", allRunning([]*testRouter{r5}, 1))
}

func TestUnreadableCertificateFiles(t *testing.T) {
	dir := t.TempDir()
	k := newAuthority(t, "a").certificateFiles(dir, "x", "x", time.Hour)
	if err := k.Load(); err != nil {
		t.Fatal(err)
	}
	var said string
	k.Warn = func(s string) { said = s }
	os.WriteFile(k.Cert, []byte("damaged"), 0o600)
	os.Chtimes(k.Cert, time.Now(), time.Now().Add(time.Minute))
	k.checkedAt = time.Time{}
	if l, err := k.current(false); err != nil || l == nil || !strings.Contains(said, "stay in force") {
		t.Errorf("a damaged file: %v, %v, %q", l, err, said)
	}
	if err := (&CertificateFiles{Cert: "nowhere", Key: "x", Authorities: "x"}).Load(); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Errorf("no file: %v", err)
	}
}
