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

// CertificateFiles are the PEM files with a side's certificate, its key, and the
// authorities that must have signed the other side's certificate. Changed files are
// reloaded without a restart; if that fails, the last valid ones stay in use. Methods
// may be called from any goroutine.
type CertificateFiles struct {
	Cert, Key, Authorities string
	// Warn is called when files can't be read and, at a service, when a router's
	// certificate is rejected; may be nil.
	Warn func(text string)

	mu        sync.Mutex
	loaded    *loadedCertificates // nil: not loaded yet
	checkedAt time.Time
}

type loadedCertificates struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modTimes    [3]time.Time
}

const recheckInterval = time.Second // minimum time between checks for changed files

// Load reads the files. An error names the invalid file and the cause.
func (c *CertificateFiles) Load() error {
	_, err := c.current(true)
	return err
}

func (c *CertificateFiles) modTimes() (times [3]time.Time, err error) {
	for i, file := range []string{c.Cert, c.Key, c.Authorities} {
		info, err := os.Stat(file)
		if err != nil {
			return times, fmt.Errorf("control: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// current returns the certificates in use. With strict it checks the files immediately
// and returns an error if they can't be read, instead of warning.
func (c *CertificateFiles) current(strict bool) (*loadedCertificates, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strict && c.loaded != nil && time.Since(c.checkedAt) < recheckInterval {
		return c.loaded, nil
	}
	c.checkedAt = time.Now()
	changed, err := c.readChanged()
	switch {
	case err == nil && changed != nil:
		c.loaded = changed
	case err != nil && (strict || c.loaded == nil):
		return nil, err
	case err != nil && c.Warn != nil:
		c.Warn(fmt.Sprintf("%v; the certificates read before stay in force", err))
	}
	return c.loaded, nil
}

// readChanged reads the files if they have changed; otherwise it returns nil.
func (c *CertificateFiles) readChanged() (*loadedCertificates, error) {
	modTimes, err := c.modTimes()
	if err != nil {
		return nil, err
	}
	if c.loaded != nil && c.loaded.modTimes == modTimes {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, fmt.Errorf("control: certificate %s with key %s: %w", c.Cert, c.Key, err)
	}
	pem, err := os.ReadFile(c.Authorities)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("control: %s contains no certificate of an authority", c.Authorities)
	}
	return &loadedCertificates{certificate: certificate, authorities: authorities, modTimes: modTimes}, nil
}

// verify verifies the other side's certificate chain with the current authorities. An
// empty name is not checked.
func (c *CertificateFiles) verify(chain [][]byte, name string, usage x509.ExtKeyUsage) error {
	loaded, err := c.current(false)
	if err != nil {
		return err
	}
	if len(chain) == 0 {
		return errors.New("control: the other side presented no certificate")
	}
	leaf, err := x509.ParseCertificate(chain[0])
	if err != nil {
		return fmt.Errorf("control: parse the other side's certificate: %w", err)
	}
	intermediates := x509.NewCertPool()
	for _, der := range chain[1:] {
		if certificate, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:         loaded.authorities,
		DNSName:       name,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("control: certificate of %q, valid until %s: %w", leaf.Subject.CommonName, leaf.NotAfter.UTC().Format(time.RFC3339), err)
	}
	return nil
}

// certificate returns the certificate to present to the other side.
func (c *CertificateFiles) certificate() (*tls.Certificate, error) {
	loaded, err := c.current(false)
	if err != nil {
		return nil, err
	}
	return &loaded.certificate, nil
}

// ServerCredentials returns the credentials of a service, which requires a certificate
// from routers.
func (c *CertificateFiles) ServerCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert, // verified below with the current authorities
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.certificate()
		},
		VerifyPeerCertificate: func(chain [][]byte, _ [][]*x509.Certificate) error {
			err := c.verify(chain, "", x509.ExtKeyUsageClientAuth)
			if err != nil && c.Warn != nil {
				c.Warn(fmt.Sprintf("rejected a router's connection: %v", err))
			}
			return err
		},
	})
}

// ClientCredentials returns a router's credentials for a service of the given name.
func (c *CertificateFiles) ClientCredentials(service string) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         service,
		InsecureSkipVerify: true, // chain and name are verified below with the current authorities
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.certificate()
		},
		VerifyPeerCertificate: func(chain [][]byte, _ [][]*x509.Certificate) error {
			return c.verify(chain, service, x509.ExtKeyUsageServerAuth)
		},
	})
}

// checkCertificateName checks that a router's certificate, if the connection has one,
// was issued to that router: the key of one router must not authorize requests for
// others.
func checkCertificateName(ctx context.Context, router string) error {
	peer, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := peer.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return nil
	}
	leaf := info.State.PeerCertificates[0]
	if leaf.Subject.CommonName == router || slices.Contains(leaf.DNSNames, router) {
		return nil
	}
	return status.Errorf(codes.PermissionDenied, "control: the certificate of %q, with names %q, is not valid for router %q",
		leaf.Subject.CommonName, leaf.DNSNames, router)
}
