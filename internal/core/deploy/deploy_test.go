package deploy

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func valid() *Config {
	return &Config{
		Version:  1,
		Services: map[string]*Service{"a": {Name: "a"}, "b": {Name: "b"}},
		Routes: []Route{
			{Name: "long", Host: "x.example", Prefix: "/p/q/", Timeout: time.Second, Backends: []Backend{{"a", 1}}},
			{Name: "short", Host: "x.example", Prefix: "/p/", Timeout: time.Second, Backends: []Backend{{"a", 90}, {"b", 10}}},
		},
	}
}

func TestCheckNamesTheError(t *testing.T) {
	cases := map[string]struct {
		invalidate func(*Config)
		want       string
	}{
		"unknown service": {func(c *Config) { c.Routes[0].Backends[0].Service = "z" }, `service "z" is not defined`},
		"same place":      {func(c *Config) { c.Routes[1].Prefix = "/p/q/" }, "share host"},
		"no weight":       {func(c *Config) { c.Routes[0].Backends[0].Weight = 0 }, "add up to zero"},
		"negative weight": {func(c *Config) { c.Routes[0].Backends[0].Weight = -1 }, "negative"},
		"no timeout":      {func(c *Config) { c.Routes[1].Timeout = 0 }, "must be positive"},
		"bad prefix":      {func(c *Config) { c.Routes[1].Prefix = "/p" }, "begin and end"},
		"no host":         {func(c *Config) { c.Routes[1].Host = "" }, "host is missing"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			is.NoErr(c.Check())
			tc.invalidate(c)
			err := c.Check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want)) // the message names the error
		})
	}
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	tb := NewTable(valid())
	is.Equal(tb.Find("x.example", "/p/q/1").Name, "long")
	is.Equal(tb.Find("X.example:80", "/p/z").Name, "short")
	is.Equal(tb.Find("x.example", "/p/q"), tb.Find("x.example", "/p/"))
	is.True(tb.Find("x.example", "/other/") == nil)
	is.True(tb.Find("y.example", "/p/q/1") == nil)
}

func TestWeightsSplitRequestsAndRetriesKeepTheirService(t *testing.T) {
	is := is.New(t)
	r := &valid().Routes[1]
	counts := map[string]int{}
	for i := range 10000 {
		id := strconv.Itoa(i)
		counts[r.Pick(id)]++
		is.Equal(r.Pick(id), r.Pick(id)) // a retry must reach the same service
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200) // 10 in 100
}

func TestHostWithoutPort(t *testing.T) {
	is := is.New(t)
	for host, want := range map[string]string{"x.example": "x.example", "x.example:80": "x.example", "[::1]:80": "[::1]", "[::1]": "[::1]", "::1": "::1"} {
		is.Equal(withoutPort(host), want)
	}
}

// Guards against models and adapters that only a client has named.
func TestOnlyModelsOfTheDeploymentExist(t *testing.T) {
	is := is.New(t)
	e := &Engine{Models: map[string]*Model{"m": {Adapters: 2, AdapterPrefix: "a"}, "n": {Adapters: 1}}}
	is.True(e.Has("m", "") && e.Has("m", "a1") && e.Has("m", "a2") && e.Has("n", "any"))
	for _, adapter := range []string{"a0", "a3", "b1", "a", "a1x"} {
		is.True(!e.Has("m", adapter)) // adapter
	}
	is.True(!e.Has("o", ""))
	is.True((*Engine)(nil).Has("o", "") && (&Engine{}).Has("o", "a1"))
}
