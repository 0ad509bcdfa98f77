package customer

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

var testDigester = NewDigester([]byte("a secret of this test"))

func entry(name ident.Customer, keys ...Key) Entry {
	return Entry{Customer: Customer{Name: name}, Keys: keys}
}

// Guards against a Book that accepts an invalid entry, or shows a key in its error message.
func TestBookRejectsInvalidEntriesWithoutShowingKeys(t *testing.T) {
	limited := func(a Allowance) Entry { return Entry{Customer: Customer{Name: "a", Allowance: a}} }
	for name, tc := range map[string]struct {
		entries []Entry
		want    string
	}{
		"shared key":          {[]Entry{entry("a", "s3cret"), entry("b", "s3cret")}, `"a" and "b" share a key`},
		"key twice":           {[]Entry{entry("a", "s3cret", "s3cret")}, "share a key"},
		"no name":             {[]Entry{entry("", "s3cret")}, "has no name"},
		"name with a line":    {[]Entry{entry("a\r\nb", "s3cret")}, "cannot carry"},
		"same name":           {[]Entry{entry("a", "s3cret"), entry("a", "s3cret2")}, "listed twice"},
		"empty key":           {[]Entry{entry("a", "")}, "empty key"},
		"key of a megabyte":   {[]Entry{entry("a", Key(strings.Repeat("s3cret", 180000)))}, "1080000 bytes"},
		"negative rate":       {[]Entry{limited(Allowance{Rate: -1})}, "the rate is negative"},
		"rate of no number":   {[]Entry{limited(Allowance{Rate: math.NaN()})}, "not a number"},
		"endless burst":       {[]Entry{limited(Allowance{Rate: 1, Burst: math.Inf(1)})}, "the burst is above"},
		"negative plain":      {[]Entry{limited(Allowance{DefaultCost: -3})}, "plain request is negative"},
		"unit that is none":   {[]Entry{limited(Allowance{Unit: 7})}, "unit is not known"},
		"negative precedence": {[]Entry{{Customer: Customer{Name: "a", HasPriority: true, Priority: -1}}}, "priority is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewBook(testDigester, tc.entries)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
			is.True(!strings.Contains(err.Error(), "s3cret")) // no error shows a key
		})
	}
}

func TestIdentify(t *testing.T) {
	is := is.New(t)
	b, err := NewBook(testDigester, []Entry{entry("a", "k1", "k2"), entry("none")})
	is.NoErr(err)
	given := func(k Key) Credential { return Credential{Key: k, Present: true} }
	for _, tc := range []struct {
		c         Credential
		anonymous bool
		standing  Standing
		name      ident.Customer
	}{
		{given("k1"), false, Known, "a"},
		{given("k2"), true, Known, "a"},
		{given("k3"), false, Unknown, ""},
		{given("k3"), true, Unknown, ""}, // an unknown key is refused even if none is required
		{given(""), true, Unknown, ""},
		{Credential{Present: true, Malformed: true, Key: "k1"}, false, Unknown, ""},
		{Credential{}, false, Unknown, ""},
		{Credential{}, true, Anonymous, ""},
	} {
		c, _, s := b.Identify(tc.c, tc.anonymous)
		is.Equal(s, tc.standing)
		if tc.name != "" {
			is.Equal(c.Name, tc.name)
		}
	}
	_, d, _ := b.Identify(given("k1"), false)
	is.True(b.Holds(d, "a"))
	is.True(!b.Holds(d, "none")) // the key belongs to another customer now
}

// Guards against a key that is printed by a log line, an error or an encoder.
func TestKeysAndDigestsPrintAsPlaceholders(t *testing.T) {
	is := is.New(t)
	c := Credential{Key: "s3cret", Present: true}
	raw, err := json.Marshal(c)
	is.NoErr(err)
	d := testDigester.Digest("s3cret")
	for _, text := range []string{fmt.Sprint(c), fmt.Sprintf("%v %+v %s", c, c, c.Key), fmt.Sprintf("%#v", c.Key), string(raw)} {
		is.True(!strings.Contains(text, "s3cret"))
	}
	is.Equal(fmt.Sprint(d), redacted)
}

func TestCostOfARequest(t *testing.T) {
	is := is.New(t)
	is.Equal(Allowance{Unit: Requests}.Cost(900, true), 1.0)
	tokens := Allowance{Unit: Tokens, DefaultCost: 200}
	is.Equal(tokens.Cost(900, true), 900.0)
	is.Equal(tokens.Cost(0, false), 200.0)
	is.Equal(tokens.Cost(-5, true), 0.0) // a negative size does not add to the allowance
}
