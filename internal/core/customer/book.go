package customer

import (
	"errors"
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Customer is the party on whose behalf callers send requests.
type Customer struct {
	Name        ident.Customer
	HasPriority bool // Priority overrides the route's
	Priority    int  // 0 is the most urgent
	Allowance   Allowance
}

// Entry is a customer with its keys, as listed in a deployment.
type Entry struct {
	Customer
	Keys []Key
}

// maxKeyBytes bounds the length of a key in bytes: longer ones are mistakes, and would be held in
// the memory of every process.
const maxKeyBytes = 1 << 10

// Book holds the customers of one deployment. It is read-only once built.
type Book struct {
	digester Digester
	byKey    map[Digest]*Customer
	byName   map[ident.Customer]*Customer
}

// NewBook checks the entries and returns their Book. Errors name customers, never keys.
func NewBook(d Digester, entries []Entry) (*Book, error) {
	b := &Book{digester: d, byKey: map[Digest]*Customer{}, byName: make(map[ident.Customer]*Customer, len(entries))}
	for i := range entries {
		if err := b.add(&entries[i]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *Book) add(e *Entry) error {
	c := e.Customer
	if c.Name == "" {
		return errors.New("a customer has no name")
	}
	if !printable(string(c.Name)) {
		return fmt.Errorf("customer %q: the name has characters that a header field cannot carry", c.Name)
	}
	if b.byName[c.Name] != nil {
		return fmt.Errorf("customer %q is listed twice", c.Name)
	}
	if c.Priority < 0 {
		return fmt.Errorf("customer %q: the priority is negative", c.Name)
	}
	if err := c.Allowance.check(); err != nil {
		return fmt.Errorf("customer %q: %w", c.Name, err)
	}
	b.byName[c.Name] = &c
	for _, k := range e.Keys {
		if k == "" {
			return fmt.Errorf("customer %q has an empty key", c.Name)
		}
		if len(k) > maxKeyBytes {
			return fmt.Errorf("customer %q has a key of %d bytes; %d are allowed", c.Name, len(k), maxKeyBytes)
		}
		digest := b.digester.Digest(k)
		if other, taken := b.byKey[digest]; taken {
			return fmt.Errorf("customers %q and %q share a key", other.Name, c.Name)
		}
		b.byKey[digest] = &c
	}
	return nil
}

// printable reports whether a name can be a header field's value.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// Len returns the number of customers.
func (b *Book) Len() int { return len(b.byName) }

// Named returns a customer by name, or nil.
func (b *Book) Named(name ident.Customer) *Customer { return b.byName[name] }

// All calls f for each customer, in no order.
func (b *Book) All(f func(*Customer)) {
	for _, c := range b.byName {
		f(c)
	}
}

// Credential is the authentication that a request carries.
type Credential struct {
	Key       Key
	Present   bool // the request has an authentication field, whatever its value
	Malformed bool // the field is malformed or repeated
}

// Standing is the result of Identify.
type Standing uint8

// The standings.
const (
	Unknown   Standing = iota // the key is unknown, malformed or missing
	Anonymous                 // the request has no key and needs none
	Known
)

// Identify returns the customer of a request. A key that is given must be known even if none
// is required: its caller expects to be identified and would be treated as anonymous instead.
func (b *Book) Identify(c Credential, anonymous bool) (*Customer, Digest, Standing) {
	switch {
	case !c.Present && anonymous:
		return nil, Digest{}, Anonymous
	case !c.Present, c.Malformed, c.Key == "", len(c.Key) > maxKeyBytes:
		return nil, Digest{}, Unknown
	}
	d := b.digester.Digest(c.Key)
	found := b.byKey[d]
	if found == nil {
		return nil, d, Unknown
	}
	return found, d, Known
}

// Holds reports whether a key that was known before is still known and still belongs to the
// same customer.
func (b *Book) Holds(d Digest, name ident.Customer) bool {
	c := b.byKey[d]
	return c != nil && c.Name == name
}
