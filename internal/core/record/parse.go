package record

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

const (
	digestPrefix = "sha256:"
	// MaxBytes is the largest record accepted.
	MaxBytes = 4 << 20
	// OldestSchema and NewestSchema bound the versions that Parse accepts.
	OldestSchema = 1
	NewestSchema = 2

	defaultWeight      = 0.5
	defaultTimeout     = 30 * time.Second
	defaultStartWithin = 30 * time.Second // default of StartWithin, unless FirstAnswer is longer
)

// document is the JSON form of a record. Version 1 lacks the fields marked "2":
// promised time, maximum wait and replica bounds per model, and priority per
// customer. Operators need them to sell one service with two response times.
type document struct {
	SchemaVersion int           `json:"schemaVersion"`
	Service       string        `json:"service"`
	Place         string        `json:"place"`
	ColdStart     *float64      `json:"coldStartWeight,omitempty"`
	FirstAnswer   duration      `json:"firstAnswer"`
	Replicas      bounds        `json:"replicas"`
	Customers     []docCustomer `json:"customers"`
	Models        []docModel    `json:"models"`
	PlainServices []docPlain    `json:"plainServices,omitempty"`
}

type bounds struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

type docCustomer struct {
	Name         string   `json:"name"`
	KeyDigests   []string `json:"keyDigests"`
	ReplicasSold int      `json:"replicasSold"`
	Rate         float64  `json:"ratePerSecond"`
	Models       []string `json:"models,omitempty"`
	Priority     Priority `json:"priority,omitempty"` // 2
}

type docModel struct {
	Name        string       `json:"name"`
	Version     string       `json:"version"`
	Bytes       int64        `json:"bytes"`
	Adapters    []docAdapter `json:"adapters,omitempty"`
	FirstAnswer duration     `json:"firstAnswer,omitempty"` // 2
	StartWithin duration     `json:"startWithin,omitempty"` // 2
	Replicas    *bounds      `json:"replicas,omitempty"`    // 2
}

type docAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

type docPlain struct {
	Name    string     `json:"name"`
	Timeout duration   `json:"timeout,omitempty"`
	Routes  []docRoute `json:"routes,omitempty"`
}

type docRoute struct {
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Repeatable bool   `json:"repeatable"`
}

// duration is written as a Go duration string, for example "1.9s".
type duration time.Duration

// UnmarshalJSON reads a duration string.
func (d *duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("a duration is a string such as \"1.9s\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.9s\"", s)
	}
	*d = duration(v)
	return nil
}

// Problem is one error in a record, with the path of the field.
type Problem struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Problems lists everything that is wrong with a record.
type Problems []Problem

// Error joins the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.Path + ": " + x.Reason
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and checks a record of any accepted schema version. The error is
// of type Problems; if the text decodes but its content is invalid, it lists every
// mistake at once.
func Parse(text Text) (*Service, error) {
	raw := []byte(text)
	if len(raw) > MaxBytes {
		return nil, Problems{{Path: "$", Reason: fmt.Sprintf("%d bytes; at most %d are accepted", len(raw), MaxBytes)}}
	}
	var head struct {
		SchemaVersion *int `json:"schemaVersion"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, Problems{{Path: "$", Reason: describeJSONError(err)}}
	}
	if head.SchemaVersion == nil {
		return nil, Problems{{Path: "schemaVersion", Reason: "is missing"}}
	}
	if v := *head.SchemaVersion; v < OldestSchema || v > NewestSchema {
		return nil, Problems{{Path: "schemaVersion", Reason: fmt.Sprintf("version %d is not known; this release reads versions %d to %d", v, OldestSchema, NewestSchema)}}
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var doc document
	if err := dec.Decode(&doc); err != nil {
		return nil, Problems{{Path: "$", Reason: describeJSONError(err)}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, Problems{{Path: "$", Reason: "text follows after the record"}}
	}
	if p := check(&doc); len(p) > 0 {
		return nil, p
	}
	return convert(&doc), nil
}

func describeJSONError(err error) string {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return fmt.Sprintf("field %s: expected %s, found %s", typ.Field, typ.Type, typ.Value)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func convert(d *document) *Service {
	s := &Service{Name: d.Service, Place: d.Place, Weight: defaultWeight}
	if d.ColdStart != nil {
		s.Weight = *d.ColdStart
	}
	for _, c := range d.Customers {
		s.Customers = append(s.Customers, convertCustomer(c))
	}
	for _, m := range d.Models {
		s.Models = append(s.Models, convertModel(d, m))
	}
	for _, p := range d.PlainServices {
		s.Plain = append(s.Plain, convertPlain(p))
	}
	return s
}

func convertCustomer(c docCustomer) Customer {
	out := Customer{Name: ident.Customer(c.Name), ReplicasSold: c.ReplicasSold, Rate: c.Rate, Priority: c.Priority, Models: c.Models}
	if out.Priority == "" {
		out.Priority = Interactive
	}
	for _, k := range c.KeyDigests {
		d, _ := parseDigest(k)
		out.KeyDigests = append(out.KeyDigests, d)
	}
	return out
}

func convertModel(d *document, m docModel) Model {
	out := Model{Name: m.Name, Version: m.Version, Bytes: m.Bytes, FirstAnswer: time.Duration(m.FirstAnswer), MinReplicas: d.Replicas.Min, MaxReplicas: d.Replicas.Max}
	if out.FirstAnswer == 0 {
		out.FirstAnswer = time.Duration(d.FirstAnswer)
	}
	out.StartWithin = time.Duration(m.StartWithin)
	if out.StartWithin == 0 {
		out.StartWithin = max(defaultStartWithin, out.FirstAnswer)
	}
	if m.Replicas != nil {
		out.MinReplicas, out.MaxReplicas = m.Replicas.Min, m.Replicas.Max
	}
	for _, a := range m.Adapters {
		out.Adapters = append(out.Adapters, Adapter(a))
	}
	return out
}

func convertPlain(p docPlain) PlainService {
	out := PlainService{Name: p.Name, Timeout: time.Duration(p.Timeout)}
	if out.Timeout == 0 {
		out.Timeout = defaultTimeout
	}
	for _, r := range p.Routes {
		out.Routes = append(out.Routes, Route(r))
	}
	return out
}

func parseDigest(s string) ([sha256.Size]byte, bool) {
	var d [sha256.Size]byte
	h, ok := strings.CutPrefix(s, digestPrefix)
	if !ok || len(h) != 2*sha256.Size {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(h))
	return d, err == nil
}
