package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Headers of answers.
const (
	HeaderOutcome  = "Cassiapass-Outcome"
	HeaderRequest  = "X-Request-Id"
	HeaderReplayed = "Cassiapass-Replayed" // the answer was recorded for an earlier request with the same key
	HeaderDeadline = "Cassiapass-Deadline" // seconds; set by the caller, cannot extend the record's
	HeaderKey      = "Idempotency-Key"
)

// refusal is an error response that the entry generates. Every function that
// ends a request without passing on an engine's answer returns one.
type refusal struct {
	outcome    Outcome
	status     int
	kind       string // "type" of the OpenAI-style error
	code       string
	param      string
	message    string
	retryAfter time.Duration
}

// errorBody is the error body of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func (r *refusal) body() errorBody {
	d := errorDetail{Message: r.message, Type: r.kind, Code: r.code}
	if r.param != "" {
		d.Param = &r.param
	}
	return errorBody{Error: d}
}

// write sends the refusal to a caller that has received nothing yet.
func (r *refusal) write(x echo.Context) error {
	h := x.Response().Header()
	h.Set(HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	return x.JSON(r.status, r.body())
}

const (
	kindRequest = "invalid_request_error"
	kindAuth    = "authentication_error"
	kindDenied  = "permission_error"
	kindRate    = "rate_limit_error"
	kindServer  = "server_error"
)

func badRequest(param, message string) *refusal {
	return &refusal{outcome: NotRun, status: http.StatusBadRequest, kind: kindRequest, code: "invalid_value", param: param, message: message}
}

// notRun returns the refusal of a request that did not run. The caller may retry
// after retryAfter, which is at least one second.
func notRun(code, message string, retryAfter time.Duration) *refusal {
	return &refusal{outcome: NotRun, status: http.StatusServiceUnavailable, kind: kindServer, code: code, message: message, retryAfter: max(retryAfter, time.Second)}
}

// unknown returns the refusal of a request that may have run.
func unknown(code, message string) *refusal {
	return &refusal{outcome: Unknown, status: http.StatusBadGateway, kind: kindServer, code: code, message: message}
}
