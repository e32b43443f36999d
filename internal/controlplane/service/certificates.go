package service

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// CertificateFiles are the files of one side's certificate, its key, and the authorities
// that the other side's certificate must come from. They are read again when
// they change, without a restart; a change that can't be read leaves the last
// good ones in force.
type CertificateFiles struct {
	Cert, Key, Authorities string
	Warn                   func(text string)

	mu        sync.Mutex
	loaded    *loadedCertificates
	checkedAt time.Time
}

type loadedCertificates struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modTimes    [3]time.Time
}

const recheckInterval = time.Second // how often files are looked at, at most

// Load reads the files, or says which of them is wrong and why.
func (k *CertificateFiles) Load() error {
	_, err := k.current(true)
	return err
}

func (k *CertificateFiles) modTimes() (s [3]time.Time, err error) {
	for i, f := range []string{k.Cert, k.Key, k.Authorities} {
		st, err := os.Stat(f)
		if err != nil {
			return s, fmt.Errorf("control: %w", err)
		}
		s[i] = st.ModTime()
	}
	return s, nil
}

func (k *CertificateFiles) current(strict bool) (*loadedCertificates, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !strict && k.loaded != nil && time.Since(k.checkedAt) < recheckInterval {
		return k.loaded, nil
	}
	k.checkedAt = time.Now()
	changed, err := k.readChanged()
	switch {
	case err == nil && changed != nil:
		k.loaded = changed
	case err != nil && (strict || k.loaded == nil):
		return nil, err
	case err != nil && k.Warn != nil:
		k.Warn(fmt.Sprintf("%v; the keys read before stay in force", err))
	}
	return k.loaded, nil
}

// read reads the files if they have changed.
func (k *CertificateFiles) readChanged() (*loadedCertificates, error) {
	modTimes, err := k.modTimes()
	if err != nil {
		return nil, err
	}
	if k.loaded != nil && k.loaded.modTimes == modTimes {
		return nil, nil
	}
	loaded := &loadedCertificates{modTimes: modTimes, authorities: x509.NewCertPool()}
	if loaded.certificate, err = tls.LoadX509KeyPair(k.Cert, k.Key); err != nil {
		return nil, fmt.Errorf("control: certificate %s with key %s: %w", k.Cert, k.Key, err)
	}
	pem, err := os.ReadFile(k.Authorities)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if !loaded.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("control: %s holds no certificate of an authority", k.Authorities)
	}
	return loaded, nil
}

// verify checks the other side's chain with the authorities of now.
func (k *CertificateFiles) verify(raw [][]byte, name string, usage x509.ExtKeyUsage) error {
	l, err := k.current(false)
	if err != nil {
		return err
	}
	if len(raw) == 0 {
		return errors.New("control: the other side shows no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return fmt.Errorf("control: the other side's certificate: %w", err)
	}
	opts := x509.VerifyOptions{Roots: l.authorities, DNSName: name, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, b := range raw[1:] {
		if c, err := x509.ParseCertificate(b); err == nil {
			opts.Intermediates.AddCert(c)
		}
	}
	if _, err := leaf.Verify(opts); err != nil {
		return fmt.Errorf("control: certificate of %q, valid until %s: %w", leaf.Subject.CommonName, leaf.NotAfter.UTC().Format(time.RFC3339), err)
	}
	return nil
}

// ServerCredentials are a service's credentials: routers must show a certificate.
func (k *CertificateFiles) ServerCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			l, err := k.current(false)
			if err != nil {
				return nil, err
			}
			return &l.certificate, nil
		},
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			err := k.verify(raw, "", x509.ExtKeyUsageClientAuth)
			if err != nil && k.Warn != nil {
				k.Warn(fmt.Sprintf("a router was turned away: %v", err))
			}
			return err
		}})
}

// checkCertificateName checks that a router's certificate, where the channel has one, is its own:
// whoever holds one router's key must not speak for others.
func checkCertificateName(ctx context.Context, router string) error {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return nil
	}
	leaf := info.State.PeerCertificates[0]
	if leaf.Subject.CommonName == router || slices.Contains(leaf.DNSNames, router) {
		return nil
	}
	return status.Errorf(codes.PermissionDenied, "control: a certificate of %q, with names %q, does not speak for router %q",
		leaf.Subject.CommonName, leaf.DNSNames, router)
}

// ClientCredentials are a router's credentials for a service of the given name.
func (k *CertificateFiles) ClientCredentials(service string) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, ServerName: service,
		InsecureSkipVerify: true, // the chain and the name are verified below, with the authorities of now
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			l, err := k.current(false)
			if err != nil {
				return nil, err
			}
			return &l.certificate, nil
		},
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return k.verify(raw, service, x509.ExtKeyUsageServerAuth)
		}})
}
