package record

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	maxFirstAnswer = time.Hour
	maxReplicas    = 10000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checker collects the problems of a record.
type checker struct{ problems Problems }

func (c *checker) fail(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, v string) {
	if !namePattern.MatchString(v) {
		c.fail(path, "%q is not a name: letters, digits, '.', '_' and '-', at most 128, starting with a letter or digit", v)
	}
}

// unique adds v to seen, which maps values to paths, and reports a duplicate.
func (c *checker) unique(seen map[string]string, path, v string) {
	if first, ok := seen[v]; ok {
		c.fail(path, "%q stands already at %s", v, first)
		return
	}
	seen[v] = path
}

// check returns every semantic problem of a record.
func check(d *document) Problems {
	c := &checker{}
	c.name("service", d.Service)
	c.name("place", d.Place)
	if d.ColdStart != nil && (*d.ColdStart < 0 || *d.ColdStart > 1) {
		c.fail("coldStartWeight", "%v is outside 0 (idle accelerator time counts) to 1 (tail cold start counts)", *d.ColdStart)
	}
	if len(d.Models) > 0 {
		c.firstAnswer("firstAnswer", d.FirstAnswer)
		c.bounds("replicas", d.Replicas)
	}
	if len(d.Models) == 0 && len(d.PlainServices) == 0 {
		c.fail("models", "a record states at least one model or plain service")
	}
	c.customers(d)
	c.models(d)
	c.plain(d)
	return c.problems
}

func (c *checker) firstAnswer(path string, d duration) {
	if d <= 0 || time.Duration(d) > maxFirstAnswer {
		c.fail(path, "%v is outside 0 to %v", time.Duration(d), maxFirstAnswer)
	}
}

func (c *checker) bounds(path string, b bounds) {
	if b.Min < 0 || b.Max < 1 || b.Min > b.Max || b.Max > maxReplicas {
		c.fail(path, "min %d and max %d: 0 <= min <= max, 1 <= max <= %d", b.Min, b.Max, maxReplicas)
	}
}

func (c *checker) customers(d *document) {
	if len(d.Customers) == 0 {
		c.fail("customers", "a record names at least one customer")
	}
	names, digests, models := map[string]string{}, map[string]string{}, map[string]bool{}
	for _, m := range d.Models {
		models[m.Name] = true
	}
	for i, cu := range d.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.name(path+".name", cu.Name)
		c.unique(names, path+".name", cu.Name)
		if len(cu.KeyDigests) == 0 {
			c.fail(path+".keyDigests", "a customer has at least one key digest")
		}
		for j, k := range cu.KeyDigests {
			kp := fmt.Sprintf("%s.keyDigests[%d]", path, j)
			if _, ok := parseDigest(k); !ok {
				c.fail(kp, "is not \"sha256:\" and 64 hexadecimal digits; write the digest, never the key")
				continue
			}
			c.unique(digests, kp, strings.ToLower(k))
		}
		if cu.ReplicasSold < 0 {
			c.fail(path+".replicasSold", "%d is negative", cu.ReplicasSold)
		}
		if cu.Rate <= 0 {
			c.fail(path+".ratePerSecond", "%v is not positive", cu.Rate)
		}
		for j, m := range cu.Models {
			if !models[m] {
				c.fail(fmt.Sprintf("%s.models[%d]", path, j), "model %q is not in this record", m)
			}
		}
		c.priority(d, path+".priority", cu.Priority)
	}
}

func (c *checker) priority(d *document, path string, p Priority) {
	switch {
	case p == "":
	case d.SchemaVersion < 2:
		c.fail(path, "needs schemaVersion 2")
	case p != Interactive && p != Batch:
		c.fail(path, "%q is neither %q nor %q", p, Interactive, Batch)
	}
}

func (c *checker) models(d *document) {
	seen := map[string]string{}
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.name(path+".name", m.Name)
		c.name(path+".version", m.Version)
		c.unique(seen, path, m.Name+"@"+m.Version)
		if m.Bytes <= 0 {
			c.fail(path+".bytes", "%d is not positive", m.Bytes)
		}
		if d.SchemaVersion < 2 && (m.FirstAnswer != 0 || m.StartWithin != 0 || m.Replicas != nil) {
			c.fail(path, "firstAnswer, startWithin and replicas of one model need schemaVersion 2")
			continue
		}
		if m.StartWithin != 0 {
			c.firstAnswer(path+".startWithin", m.StartWithin)
		}
		if m.FirstAnswer != 0 {
			c.firstAnswer(path+".firstAnswer", m.FirstAnswer)
		}
		if m.Replicas != nil {
			c.bounds(path+".replicas", *m.Replicas)
		}
		adapters := map[string]string{}
		for j, a := range m.Adapters {
			ap := fmt.Sprintf("%s.adapters[%d]", path, j)
			c.name(ap+".name", a.Name)
			c.name(ap+".version", a.Version)
			c.unique(adapters, ap, a.Name+"@"+a.Version)
			if a.Bytes <= 0 {
				c.fail(ap+".bytes", "%d is not positive", a.Bytes)
			}
		}
	}
}

func (c *checker) plain(d *document) {
	seen := map[string]string{}
	for i, p := range d.PlainServices {
		path := fmt.Sprintf("plainServices[%d]", i)
		c.name(path+".name", p.Name)
		c.unique(seen, path+".name", p.Name)
		if p.Timeout < 0 {
			c.fail(path+".timeout", "%v is negative", time.Duration(p.Timeout))
		}
		for j, r := range p.Routes {
			rp := fmt.Sprintf("%s.routes[%d]", path, j)
			if r.Method == "" || r.Method != strings.ToUpper(r.Method) {
				c.fail(rp+".method", "%q is not an HTTP method in capital letters", r.Method)
			}
			if !strings.HasPrefix(r.Prefix, "/") {
				c.fail(rp+".prefix", "%q does not start with '/'", r.Prefix)
			}
		}
	}
}
