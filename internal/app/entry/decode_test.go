package entry

import (
	"encoding/json"
	"testing"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// FuzzCompletion looks for request bodies that crash the process or lose fields
// of the caller. Its corpus runs in CI.
func FuzzCompletion(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m@1:a@2","messages":[{"role":"user","content":"x"}],"stream":true,"temperature":0.5}`,
		`{`, `null`, `[]`, `{"model":7}`, `{"model":":"}`, `{"model":"a:","messages":[1]}`, `{"model":"m","messages":{}}`, "\x00", `{"model":"\ud800"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, ref := parseCompletion(raw, "/v1/chat/completions")
		if ref != nil {
			if ref.outcome != NotRun || ref.message == "" {
				t.Fatalf("refused without a reason: %+v", ref)
			}
			return
		}
		tg, err := ident.ParseTarget(b.Model)
		if err != nil {
			return
		}
		tg.Version = "1"
		out, err := withModel(raw, tg)
		if err != nil {
			t.Fatalf("%s was accepted and cannot be sent: %v", raw, err)
		}
		var before, after map[string]json.RawMessage
		if json.Unmarshal(raw, &before) != nil || json.Unmarshal(out, &after) != nil || len(before) > len(after) {
			t.Fatalf("fields of %s are missing in %s", raw, out)
		}
	})
}
