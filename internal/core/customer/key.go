package customer

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Key is the secret by which a caller authenticates. It prints as a placeholder, so that it
// cannot reach a log line or an error text through a format verb.
type Key string

const redacted = "[key]"

// String implements fmt.Stringer.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Digest identifies a key within one process.
type Digest [sha256.Size]byte

// String implements fmt.Stringer. It redacts the digest, since a digest is as good as the key
// for anyone who can replay it.
func (Digest) String() string { return redacted }

// Digester computes digests of keys with a secret. Keys that collide in a bucket of the
// look-up table cannot be constructed without the secret.
type Digester struct{ secret []byte }

// NewDigester returns a Digester; each process should generate a random secret of its own.
func NewDigester(secret []byte) Digester { return Digester{secret} }

// Digest returns the digest of a key.
func (d Digester) Digest(k Key) Digest {
	h := hmac.New(sha256.New, d.secret)
	h.Write([]byte(k))
	return Digest(h.Sum(nil))
}
