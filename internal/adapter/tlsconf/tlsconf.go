// Package tlsconf builds TLS configurations that read their certificate again when
// its file changes, so that it can be renewed without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

const checkEvery = 5 * time.Second

// Files names the PEM files of one side of a connection.
type Files struct {
	Cert string
	Key  string
	CA   string // certificates of the authorities that must have signed the peer's certificate
}

// keypair holds a certificate and reads it again when its file is newer.
type keypair struct {
	files         Files
	mu            sync.Mutex
	cert          *tls.Certificate
	loadedModTime time.Time // modification time of the loaded file
	checked       time.Time
}

// get returns the current certificate. If the file cannot be read, the one in use
// stays: a partly written renewal must not take the service down.
func (k *keypair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.cert != nil && now.Sub(k.checked) < checkEvery {
		return k.cert, nil
	}
	k.checked = now
	info, err := os.Stat(k.files.Cert)
	if err == nil && (k.cert == nil || info.ModTime().After(k.loadedModTime)) {
		var c tls.Certificate
		if c, err = tls.LoadX509KeyPair(k.files.Cert, k.files.Key); err == nil {
			k.cert, k.loadedModTime = &c, info.ModTime()
		}
	}
	if k.cert == nil {
		return nil, oops.Wrapf(err, "load certificate %s", k.files.Cert)
	}
	return k.cert, nil
}

func pool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.Wrapf(err, "read certificates")
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(pem) {
		return nil, oops.Errorf("%s holds no certificate in PEM form", file)
	}
	return p, nil
}

// Server returns the configuration of a listener. With a CA, clients must present a
// certificate signed by it.
func Server(f Files) (*tls.Config, error) {
	k := &keypair{files: f}
	if _, err := k.get(); err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.get() },
	}
	if f.CA == "" {
		return c, nil
	}
	p, err := pool(f.CA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs, c.ClientAuth = p, tls.RequireAndVerifyClientCert
	return c, nil
}

// Client returns the configuration of the dialling side between the system's own
// processes. It accepts any certificate signed by the CA and checks no names:
// processes are reached at IP addresses that change, and the CA must sign certificates
// of this system only.
func Client(f Files) (*tls.Config, error) {
	p, err := pool(f.CA)
	if err != nil {
		return nil, err
	}
	k := &keypair{files: f}
	if _, err := k.get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.get() },
		// Disables the check of names; VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: p, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
			for _, c := range s.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(opts)
			return err
		},
	}, nil
}
