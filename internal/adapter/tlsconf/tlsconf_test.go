package tlsconf

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
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func write(t *testing.T, file, kind string, der []byte) string {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func template(serial int64, ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
}

func newAuthority(t *testing.T, dir, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := template(1, true)
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key, write(t, filepath.Join(dir, name+"-ca.pem"), "CERTIFICATE", der)}
}

// issue writes a certificate and key signed by the authority.
func (a *authority) issue(t *testing.T, dir, name string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template(serial, false), a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Files{
		Cert: write(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der),
		Key:  write(t, filepath.Join(dir, name+"-key.pem"), "EC PRIVATE KEY", raw), CA: a.file,
	}
}

// handshake connects a client to a server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, err error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).HandshakeContext(context.Background())
			c.Close()
		}
		done <- err
	}()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(nc, client)
	defer c.Close()
	err = c.HandshakeContext(context.Background())
	if serr := <-done; err == nil {
		err = serr
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestOnlyCertificatesOfTheSystemAreAccepted(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ours, theirs := newAuthority(t, dir, "ours"), newAuthority(t, dir, "theirs")
	server, err := Server(ours.issue(t, dir, "server", 2))
	is.NoErr(err)
	client, err := Client(ours.issue(t, dir, "client", 3))
	is.NoErr(err)
	_, err = handshake(t, server, client)
	is.NoErr(err)
	stranger, err := Client(Files{Cert: theirs.issue(t, dir, "stranger", 4).Cert, Key: filepath.Join(dir, "stranger-key.pem"), CA: ours.file})
	is.NoErr(err)
	_, err = handshake(t, server, stranger)
	is.True(err != nil)
	impostor, err := Server(theirs.issue(t, dir, "false", 5))
	is.NoErr(err)
	_, err = handshake(t, impostor, client)
	is.True(err != nil)
}

// A renewed certificate must be used without a restart, also if its file was partly
// written when it was read. If certificates are read only at the start, every connection
// fails after the old one has expired.
func TestRenewedCertificateIsUsedWithoutARestart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := newAuthority(t, dir, "ca")
	k := &keypair{files: ca.issue(t, dir, "server", 2)}
	serial := func() int64 {
		k.checked = time.Time{} // as if the check interval had passed
		c, err := k.get()
		is.NoErr(err)
		leaf, err := x509.ParseCertificate(c.Certificate[0])
		is.NoErr(err)
		return leaf.SerialNumber.Int64()
	}
	is.Equal(serial(), int64(2))
	is.NoErr(os.WriteFile(k.files.Cert, []byte("-----BEGIN"), 0o600))
	is.NoErr(os.Chtimes(k.files.Cert, time.Now().Add(time.Minute), time.Now().Add(time.Minute)))
	is.Equal(serial(), int64(2)) // the certificate in use stays
	ca.issue(t, dir, "server", 9)
	is.NoErr(os.Chtimes(k.files.Cert, time.Now().Add(2*time.Minute), time.Now().Add(2*time.Minute)))
	is.Equal(serial(), int64(9))
}
