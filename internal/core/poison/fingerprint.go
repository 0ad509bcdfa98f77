package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Key is the key of the fingerprints; all processes of a deployment use the same one. A caller
// without it can neither construct two requests with the same fingerprint nor check a guess of
// a request against a fingerprint in a log.
type Key []byte

// KeySize is the length of a Key in bytes.
const KeySize = 32

// Fingerprint identifies a request by the content that an endpoint receives, and is used in
// place of the body. It is the same for each attempt, independent of the request id and of the
// entry.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of a request from its parts: its destination and its
// content. Each part is preceded by its length, so that different divisions into parts give
// different fingerprints.
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

// Part returns the fingerprint of a part of prompts. It differs from that of every request: those
// have several parts.
func (k Key) Part(id string) Fingerprint { return k.Fingerprint([]byte(id)) }

// String returns f in hexadecimal, as used in logs and by operators.
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
