// Package record parses service records, which operators submit, revise and
// withdraw. A record states which models, adapters and versions a customer may
// call, the promised time to the first token and the capacity sold.
//
// Several schema versions are accepted. A record is stored exactly as written,
// and Parse converts every version to the same internal form, so that a record of
// an old version keeps its meaning when a newer version is added.
package record

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Priority orders the waiting requests of different customers.
type Priority string

// The priorities. Batch requests yield to interactive ones.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Service is the internal form of one record.
type Service struct {
	Name      string
	Place     string // deployment, for example "kyushu"
	Weight    float64
	Customers []Customer
	Models    []Model
	Plain     []PlainService
}

// Customer is one customer of a service.
type Customer struct {
	Name         ident.Customer
	KeyDigests   [][sha256.Size]byte
	ReplicasSold int
	Rate         float64 // requests per second sold
	Priority     Priority
	Models       []string // names of models that the customer may call; empty means all models of the record
}

// Model is one model version with its adapters.
type Model struct {
	Name        string
	Version     string
	Bytes       int64 // accelerator memory of one replica, without its KV cache
	Adapters    []Adapter
	FirstAnswer time.Duration // promised time to the first token
	StartWithin time.Duration // maximum wait for the first token, including a cold start, after which the request is refused
	MinReplicas int
	MaxReplicas int
}

// Adapter is one adapter version on a model.
type Adapter struct {
	Name    string
	Version string
	Bytes   int64
}

// PlainService is a routed service without a model. Its endpoints are those whose
// agents register as serving it.
type PlainService struct {
	Name    string
	Timeout time.Duration
	Routes  []Route
}

// Route states whether calls of one method and path prefix may be repeated.
type Route struct {
	Method     string
	Prefix     string
	Repeatable bool
}

// MayRepeat reports whether a call may be sent again when it is unknown whether
// the first attempt ran. The route with the longest matching prefix decides;
// without a match, only GET, HEAD and OPTIONS, which HTTP defines as idempotent,
// may be repeated.
func (p PlainService) MayRepeat(method, path string) bool {
	best, repeat := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, r := range p.Routes {
		matches := r.Method == method && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix
		if matches && len(r.Prefix) > best {
			best, repeat = len(r.Prefix), r.Repeatable
		}
	}
	return repeat
}

// DigestKey returns the digest that represents a caller's key in a record.
func DigestKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// FormatDigest formats a digest as in records.
func FormatDigest(d [sha256.Size]byte) string { return digestPrefix + hex.EncodeToString(d[:]) }

// CustomerByKey returns the customer whose key digest equals d. Every digest
// is compared in constant time, so that response times reveal nothing about how
// much of a guessed key is correct.
func (s *Service) CustomerByKey(d [sha256.Size]byte) (*Customer, bool) {
	var found *Customer
	for i := range s.Customers {
		for _, k := range s.Customers[i].KeyDigests {
			if subtle.ConstantTimeCompare(k[:], d[:]) == 1 {
				found = &s.Customers[i]
			}
		}
	}
	return found, found != nil
}

// MayCall reports whether the customer may call the named model.
func (c *Customer) MayCall(model string) bool {
	if len(c.Models) == 0 {
		return true
	}
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Resolve returns t with its versions filled in, and its model. The default is the
// last version listed. It returns false if the record does not state t.
func (s *Service) Resolve(t ident.Target) (ident.Target, *Model, bool) {
	for i := len(s.Models) - 1; i >= 0; i-- {
		m := &s.Models[i]
		if m.Name != t.Model || (t.Version != "" && m.Version != t.Version) {
			continue
		}
		if !t.IsAdapter() {
			return ident.Target{Model: m.Name, Version: m.Version}, m, true
		}
		if a, ok := m.adapter(t.Adapter, t.AdapterVersion); ok {
			return ident.Target{Model: m.Name, Version: m.Version, Adapter: a.Name, AdapterVersion: a.Version}, m, true
		}
	}
	return ident.Target{}, nil, false
}

func (m *Model) adapter(name, version string) (Adapter, bool) {
	for i := len(m.Adapters) - 1; i >= 0; i-- {
		a := m.Adapters[i]
		if a.Name == name && (version == "" || a.Version == version) {
			return a, true
		}
	}
	return Adapter{}, false
}

// Bytes returns the accelerator memory of one replica of t, for an adapter without
// its base model, and false if the record does not state t.
func (s *Service) Bytes(t ident.Target) (int64, bool) {
	_, m, ok := s.Resolve(t)
	if !ok {
		return 0, false
	}
	if !t.IsAdapter() {
		return m.Bytes, true
	}
	a, ok := m.adapter(t.Adapter, t.AdapterVersion)
	return a.Bytes, ok
}
