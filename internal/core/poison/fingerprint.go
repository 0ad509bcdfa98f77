package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Key is what fingerprints are made with: all processes of a deployment use the same one.
// Without it nobody can find two requests that have one fingerprint, or tell from a
// fingerprint in a log what a guessed request was.
type Key []byte

// KeySize is the length of a Key in bytes.
const KeySize = 32

// Fingerprint names a request by what an endpoint is given to run, in place of its body.
// It is the same each time that the request comes, whatever its id and through whichever
// entry.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of a request from its parts: where it goes and what
// it holds. Parts do not run into each other.
func (k Key) Fingerprint(parts ...[]byte) Fingerprint {
	h := hmac.New(sha256.New, k)
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns f in hexadecimal, as logs and operators name it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, f[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(f) {
		return errors.New("a fingerprint has 32 hexadecimal digits")
	}
	_, err := hex.Decode(f[:], b)
	return err
}

// Parse reads a fingerprint as String writes it.
func Parse(s string) (Fingerprint, error) {
	var f Fingerprint
	err := f.UnmarshalText([]byte(s))
	return f, err
}
