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
	// ReadRequest reads a caller's request.
	ReadRequest(h http.Header) (RequestFields, error)
	// WriteRequest sets the fields for an endpoint on a copy of the caller's fields.
	// Fields that only the gateway may set are removed first.
	WriteRequest(h http.Header, s ForwardFields)
	// ReadAnswer interprets the answer of the endpoint that was asked, which is
	// named as in ForwardFields.
	ReadAnswer(asked string, status int, h http.Header) AnswerFields
}

// RequestFields is the content of a caller's header fields.
type RequestFields struct {
	ID        string        // of this request; endpoints echo it
	TimeLeft  time.Duration // how long the caller waits; 0 if not given
	Want      fleet.Want    // model and adapter; zero for a plain service
	LastEvent string        // the caller resumes a stream after this event
	Resumes   string        // the request that brought the first event of a stream that the caller takes up again
	MaxOutput int           // maximum of output tokens; 0 if not given
	Tokens    int           // of the prompt and the maximum output together
	HasTokens bool          // Tokens is given
	Prompt    int           // tokens of the prompt; 0 if not given
	Hint      int           // output tokens that the caller expects; 0 if not given
	// Parts are the ids of the parts of its prompt that other requests may share, in order, each
	// once. PartsUnreadable is set if some of what names them could not be read.
	Parts           []string
	PartsUnreadable bool

	Credential customer.Credential
}

// ForwardFields is what an endpoint receives in addition to the caller's own fields.
type ForwardFields struct {
	TimeLeft  time.Duration // until the answer is of no use any more
	Endpoint  string        // the platform's name for it
	Priority  int           // 0 is the most urgent
	LastEvent string
	BackupTo  string // address of the endpoint to which the run's memory is copied while it grows; "" for none
	// GoOnFrom names the copy of the run's memory from which the endpoint goes on; "" for none.
	GoOnFrom string
	// Authenticated is set where callers authenticate with keys: the key is not forwarded, and
	// the endpoint receives Customer instead, "" for a caller without a key.
	Authenticated bool
	Customer      ident.Customer
}

// AnswerFields is the meaning of the header fields of an endpoint's answer.
type AnswerFields struct {
	NotRun        bool   // the endpoint states that it did not run the request
	ModelMissing  bool   // it does not hold the model or adapter
	WrongEndpoint bool   // another process has the address
	ID            string // of the request that it answers
	HasLoad       bool   // Running, Waiting and Slots are given
	Running       int
	Waiting       int
	Slots         int
	Slowness      float64 // time for work on the endpoint's host at this moment relative to the usual; 0 if not named
	Limit         NamedLimit
	Pause         NamedPause
	Leaving       NamedLeaving
	Unknown       []string // names of fields that nothing here reads, shortened
}

// NamedPause is how long an endpoint that turned a request away wants none from this host.
type NamedPause struct {
	Named    bool          // a pause is named, readable or not
	Readable bool          // For is valid
	For      time.Duration // 0 or more
	Text     string        // as received, shortened, for logs
}

// asks reports whether a pause is asked for.
func (p NamedPause) asks() bool { return p.Named && (!p.Readable || p.For > 0) }

// NamedLeaving is what an answer says about whether its endpoint leaves.
type NamedLeaving struct {
	Leaving    bool
	Unreadable string // a value that says neither, shortened; "" if there is none
}

// NamedLimit is what an answer says about the rate of requests that its endpoint takes from
// all entries together. An answer that names none says that there is none.
type NamedLimit struct {
	Named    bool    // a limit is named, readable or not
	Readable bool    // Rate is valid
	Rate     float64 // requests a second
	Text     string  // as received, shortened, for logs
}
