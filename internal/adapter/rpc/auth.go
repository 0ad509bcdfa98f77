package rpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	handshakeTimeout = 5 * time.Second
	maxHandshake     = 1 << 10
	nonceBytes       = 32
)

// ErrAuth means that the peer does not hold the shared key.
var ErrAuth = errors.New("the other side does not hold the shared key")

// hello is the handshake message of either side.
type hello struct {
	Nonce []byte `json:"nonce"`
	Proof []byte `json:"proof,omitempty"`
}

// proof returns a MAC of the side and both nonces under the shared key, so that a
// proof can be neither replayed nor reflected.
func proof(key []byte, side string, client, server []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(side))
	m.Write(client)
	m.Write(server)
	return m.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	rand.Read(b) // never returns an error; on failure it ends the process
	return b
}

// authenticateClient checks the server's proof of the shared key and sends the
// client's own.
func authenticateClient(s *stream, key []byte, timeout time.Duration) error {
	return withDeadline(s.conn, timeout, func() error {
		mine := newNonce()
		if err := writeHello(s, hello{Nonce: mine}); err != nil {
			return err
		}
		theirs, err := readHello(s)
		if err != nil {
			return err
		}
		if !hmac.Equal(theirs.Proof, proof(key, "server", mine, theirs.Nonce)) {
			return ErrAuth
		}
		return writeHello(s, hello{Nonce: mine, Proof: proof(key, "client", mine, theirs.Nonce)})
	})
}

// authenticateServer is the server's side of the handshake.
func authenticateServer(s *stream, key []byte) error {
	return withDeadline(s.conn, handshakeTimeout, func() error {
		first, err := readHello(s)
		if err != nil {
			return err
		}
		mine := newNonce()
		if err := writeHello(s, hello{Nonce: mine, Proof: proof(key, "server", first.Nonce, mine)}); err != nil {
			return err
		}
		second, err := readHello(s)
		if err != nil {
			return err
		}
		if !hmac.Equal(second.Proof, proof(key, "client", first.Nonce, mine)) {
			return ErrAuth
		}
		return nil
	})
}

func withDeadline(c net.Conn, timeout time.Duration, f func() error) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

func writeHello(s *stream, h hello) error {
	b, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return s.writeFrame(0, b)
}

func readHello(s *stream) (hello, error) {
	b, _, err := s.readFrame(maxHandshake)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := json.Unmarshal(b, &h); err != nil {
		return hello{}, err
	}
	if len(h.Nonce) != nonceBytes {
		return hello{}, ErrAuth
	}
	return h, nil
}
