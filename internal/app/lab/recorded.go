package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/core/bound"
)

// recording is the file format of a load with the engines that served it. Times are
// seconds from any common origin; docs/POLICY.md describes the fields.
type recording struct {
	Engines   int               `json:"engines"`
	Megabytes int64             `json:"megabytes"`
	Begin     float64           `json:"begin"`
	End       float64           `json:"end"`
	Unload    float64           `json:"unload"`
	Models    []recordedModel   `json:"models"`
	Requests  []recordedRequest `json:"requests"`
}

type recordedModel struct {
	Name      string  `json:"name"`
	Megabytes int64   `json:"megabytes"`
	First     float64 `json:"first"`
	Again     float64 `json:"again"`
	Held      bool    `json:"held"`
}

type recordedRequest struct {
	Model  string  `json:"model"`
	At     float64 `json:"at"`
	InTime float64 `json:"inTime"`
	Late   float64 `json:"late"`
	Runs   float64 `json:"runs"`
	Worth  float64 `json:"worth"`
	Little float64 `json:"little"`
}

// maxRecordingBytes limits the size of a recording; it suffices for some millions of requests.
const maxRecordingBytes = 1 << 30

// readRecording reads a recording from a file and checks it.
func readRecording(file string) (bound.Problem, error) {
	f, err := os.Open(file)
	if err != nil {
		return bound.Problem{}, oops.Wrapf(err, "recorded load")
	}
	defer f.Close()
	dec := json.NewDecoder(io.LimitReader(f, maxRecordingBytes))
	dec.DisallowUnknownFields()
	var r recording
	if err := dec.Decode(&r); err != nil {
		return bound.Problem{}, oops.Wrapf(err, "recorded load %s", file)
	}
	p, err := r.problem()
	if err == nil {
		err = p.Check()
	}
	return p, oops.Wrapf(err, "recorded load %s", file)
}

func (r recording) problem() (bound.Problem, error) {
	p := bound.Problem{Engines: r.Engines, Megabytes: r.Megabytes, Begin: fromSeconds(r.Begin), End: fromSeconds(r.End), Unload: fromSeconds(r.Unload)}
	at := map[string]int{}
	for i, m := range r.Models {
		if _, twice := at[m.Name]; twice {
			return p, oops.Errorf("model %q is listed twice", m.Name)
		}
		at[m.Name] = i
		p.Models = append(p.Models, bound.Model{Name: m.Name, Megabytes: m.Megabytes, FirstLoad: fromSeconds(m.First), Reload: fromSeconds(m.Again), Held: m.Held})
	}
	for i, q := range r.Requests {
		k, known := at[q.Model]
		if !known {
			return p, oops.Errorf("request %d: model %q is not listed", i, q.Model)
		}
		p.Models[k].Requests = append(p.Models[k].Requests, bound.Request{
			From: fromSeconds(q.At), InTime: fromSeconds(q.InTime), Late: fromSeconds(q.Late), Runs: fromSeconds(q.Runs), Value: q.Worth, LateValue: q.Little})
	}
	return p, nil
}

func fromSeconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// newRecording returns the recording of a problem.
func newRecording(p bound.Problem) recording {
	r := recording{Engines: p.Engines, Megabytes: p.Megabytes, Begin: p.Begin.Seconds(), End: p.End.Seconds(), Unload: p.Unload.Seconds()}
	for _, m := range p.Models {
		r.Models = append(r.Models, recordedModel{m.Name, m.Megabytes, m.FirstLoad.Seconds(), m.Reload.Seconds(), m.Held})
		for _, q := range m.Requests {
			r.Requests = append(r.Requests, recordedRequest{m.Name, q.From.Seconds(), q.InTime.Seconds(), q.Late.Seconds(), q.Runs.Seconds(), q.Value, q.LateValue})
		}
	}
	return r
}

// writeRecording writes the load of a site with seed 1 to a file.
func writeRecording(file string, s *Site) error {
	data, err := json.Marshal(newRecording(s.Problem(1)))
	if err != nil {
		return oops.Wrapf(err, "recorded load")
	}
	return oops.Wrapf(os.WriteFile(file, data, 0o644), "recorded load")
}

// boundRecording prints the upper bound on what policies can earn on a recorded load.
func boundRecording(file string, out io.Writer) error {
	p, err := readRecording(file)
	if err != nil {
		return err
	}
	for _, onDemand := range []bool{false, true} {
		p.OnDemand = onDemand
		r, err := bound.Solve(p, 0, bound.DefaultSettings())
		if err != nil {
			return err
		}
		what := "all demand known ahead"
		if onDemand {
			what = "models loaded when a request waits"
		}
		if _, err := fmt.Fprintf(out, "%s: at most %.3f of %.3f (%.1f %%); price of memory %.3f, of order time %.3f\n",
			what, r.Bound, r.Total, 100*r.Bound/r.Total, r.Memory, r.Orders); err != nil {
			return err
		}
	}
	return nil
}
