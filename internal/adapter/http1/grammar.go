package http1

import (
	"bytes"
	"errors"
	"strings"
)

// malformedHead is why a head is not one of HTTP/1.1 (RFC 9112), or one that two parsers could read differently.
type malformedHead string

// Error implements error.
func (m malformedHead) Error() string { return string(m) }

// errUnknownCoding means that a head names a transfer coding other than chunked.
var errUnknownCoding = errors.New("only the chunked transfer encoding is known")

// framing tells how the body after a head ends, by the fields that decide it.
type framing struct {
	lengths, codings int
	chunked          bool
}

// Classes of bytes in a head.
const (
	inName  uint8 = 1 << iota // tchar
	inValue                   // VCHAR, SP, HTAB and obs-text
)

var byteClasses = func() (classes [256]uint8) {
	for b := range classes {
		if b == '\t' || b >= ' ' && b != 0x7f {
			classes[b] |= inValue
		}
		if b > ' ' && b < 0x7f && !strings.ContainsRune("\"(),/:;<=>?@[\\]{}", rune(b)) {
			classes[b] |= inName
		}
	}
	return classes
}()

// all reports whether every byte of b is of a class.
func all(b []byte, class uint8) bool {
	for _, c := range b {
		if byteClasses[c]&class == 0 {
			return false
		}
	}
	return true
}

// cutField splits the line of a field, without its line break.
func cutField(line []byte) (name, value []byte, err error) {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return nil, nil, malformedHead("a line of the header ends in another way than CR LF")
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || !all(name, inName) {
		return nil, nil, malformedHead("a field name is malformed")
	}
	if !all(value, inValue) {
		return nil, nil, malformedHead("a field value is malformed")
	}
	return name, bytes.Trim(value, " \t"), nil
}

// add records a field.
func (f *framing) add(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
			return malformedHead("Content-Length is not a number")
		}
		f.lengths++
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return errUnknownCoding
		}
		f.chunked = true
		f.codings++
	}
	return nil
}

// check reports whether the fields agree, after all have been recorded. HTTP/1.0 has no transfer codings.
func (f *framing) check(minor byte) error {
	switch {
	case f.lengths > 1:
		return malformedHead("the field Content-Length is repeated")
	case f.codings > 1:
		return malformedHead("the field Transfer-Encoding is repeated")
	case f.lengths > 0 && f.codings > 0:
		return malformedHead("both Content-Length and Transfer-Encoding are given")
	case f.codings > 0 && minor == '0':
		return malformedHead("Transfer-Encoding is given in HTTP/1.0")
	}
	return nil
}

// equalFold reports whether b is an ASCII text, whatever the case of its letters.
func equalFold(b []byte, text string) bool {
	return len(b) == len(text) && strings.EqualFold(string(b), text)
}
