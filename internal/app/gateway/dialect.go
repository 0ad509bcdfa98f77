package gateway

import (
	"net/http"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Dialect translates between header fields and what the gateway needs to know.
type Dialect interface {
	// Read reads a caller's request.
	Read(h http.Header) (Ask, error)
	// Write sets the fields for an endpoint on a copy of the caller's fields.
	// Fields that only the gateway may set are removed first.
	Write(h http.Header, s Sending)
	// Judge interprets the answer of the endpoint that was asked, which is
	// named as in Sending.
	Judge(asked string, status int, h http.Header) Verdict
}

// Ask is the content of a caller's header fields.
type Ask struct {
	ID        string        // of this request; endpoints echo it
	Left      time.Duration // how long the caller waits; 0 if not given
	Want      fleet.Want    // model and adapter; zero for a plain service
	LastEvent string        // the caller resumes a stream after this event
	Output    int           // maximum of output tokens; 0 if not given
	Tokens    int           // of the prompt and the maximum output together
	Sized     bool          // Tokens is given

	Credential customer.Credential
}

// Sending is what an endpoint receives in addition to the caller's own fields.
type Sending struct {
	Left      time.Duration // until the answer is of no use any more
	Endpoint  string        // the platform's name for it
	Priority  int           // 0 is the most urgent
	LastEvent string
	// Keyed is set where callers authenticate with keys: the key is not forwarded, and
	// the endpoint receives Customer instead, "" for a caller without a key.
	Keyed    bool
	Customer ident.Customer
}

// Verdict is what an endpoint's answer means.
type Verdict struct {
	NotRun   bool   // the endpoint states that it did not run the request
	Lacks    bool   // it does not hold the model or adapter
	Moved    bool   // another process has the address
	ID       string // of the request that it answers
	Measured bool   // Running, Waiting and Slots are given
	Running  int
	Waiting  int
	Slots    int
}
