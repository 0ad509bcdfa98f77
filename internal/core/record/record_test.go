package record

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

var key = FormatDigest(DigestKey("secret"))

func v1() string {
	return fmt.Sprintf(`{"schemaVersion":1,"service":"s","place":"p","firstAnswer":"2s","replicas":{"min":0,"max":2},
 "customers":[{"name":"c","keyDigests":[%q],"replicasSold":1,"ratePerSecond":5}],
 "models":[{"name":"m","version":"1","bytes":10,"adapters":[{"name":"a","version":"1","bytes":1}]},{"name":"m","version":"2","bytes":12}]}`, key)
}

func TestSchemaVersionsParseToTheSameForm(t *testing.T) {
	is := is.New(t)
	one, err := Parse(Text(v1()))
	is.NoErr(err)
	is.Equal(one.Models[0].FirstAnswer, 2*time.Second)
	is.Equal(one.Models[0].StartWithin, 30*time.Second)
	is.Equal(one.Customers[0].Priority, Interactive)
	two, err := Parse(Text(strings.NewReplacer(`"schemaVersion":1`, `"schemaVersion":2`, `"ratePerSecond":5`, `"ratePerSecond":5,"priority":"batch"`, `"bytes":12`, `"bytes":12,"startWithin":"5m","replicas":{"min":1,"max":3}`).Replace(v1())))
	is.NoErr(err)
	is.Equal(two.Customers[0].Priority, Batch)
	is.Equal(two.Models[1].StartWithin, 5*time.Minute)
	is.Equal(two.Models[1].MaxReplicas, 3)
	is.Equal(two.Models[0].MaxReplicas, 2)
}

func TestResolveFillsInTheNewestVersion(t *testing.T) {
	is := is.New(t)
	s, err := Parse(Text(v1()))
	is.NoErr(err)
	for in, want := range map[string]string{"m": "m@2", "m@1": "m@1", "m:a": "m@1:a@1", "m@2:a": "", "x": ""} {
		tg, err := ident.ParseTarget(in)
		is.NoErr(err)
		got, _, ok := s.Resolve(tg)
		is.Equal(got.String(), want)
		is.Equal(ok, want != "")
	}
}

func TestEveryProblemIsListedWithItsPath(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(`"place":"p"`, `"place":"p q"`, `"bytes":10`, `"bytes":0`, `"ratePerSecond":5`, `"ratePerSecond":-1,"priority":"batch"`, `"max":2`, `"max":0`).Replace(v1())
	_, err := Parse(Text(bad))
	var ps Problems
	is.True(errors.As(err, &ps))
	for _, path := range []string{"place", "models[0].bytes", "customers[0].ratePerSecond", "customers[0].priority", "replicas"} {
		if !strings.Contains(err.Error(), path+":") {
			t.Errorf("%s is missing in\n%v", path, err)
		}
	}
}

func TestInvalidRecordsAreRefusedWithAReason(t *testing.T) {
	for text, want := range map[string]string{
		`{"schemaVersion":3}`:                    "version 3 is not known",
		`{}`:                                     "schemaVersion: is missing",
		`{"schemaVersion":1,"surprise":true}`:    "unknown field",
		v1() + "x":                               "invalid character",
		`{"schemaVersion":1,"firstAnswer":1}`:    "duration",
		`{"schemaVersion":1,"customers":"none"}`: "customers",
	} {
		_, err := Parse(Text(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestLongestRoutePrefixDecides(t *testing.T) {
	is := is.New(t)
	p := PlainService{Routes: []Route{{"POST", "/", true}, {"POST", "/renewals", false}}}
	is.True(p.MayRepeat("GET", "/x"))
	is.True(p.MayRepeat("POST", "/lookups"))
	is.True(!p.MayRepeat("POST", "/renewals/7"))
	is.True(!p.MayRepeat("DELETE", "/renewals/7"))
}

// FuzzParse looks for records that make Parse panic or return neither or both of a
// record and an error. Its corpus runs in CI.
func FuzzParse(f *testing.F) {
	for _, s := range []string{v1(), "{", "null", `{"schemaVersion":1}`, `{"schemaVersion":2,"models":[{}],"customers":[{"keyDigests":["sha256:"]}]}`, `{"schemaVersion":1e9}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		svc, err := Parse(Text(s))
		if (svc == nil) == (err == nil) {
			t.Fatal("neither a record nor an error, or both")
		}
	})
}
