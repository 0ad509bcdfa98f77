package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// timeOfDay are the places that may take a point in time apart into the time of
// day, by file and function, with the reason why a step of the clock does no harm
// there.
var timeOfDay = map[string]string{
	"internal/app/agent/agent.go New":                  "number of this start; on a host whose clock was set back it is refused until the clock has caught up",
	"internal/app/entry/entry.go New":                  "number of this start; told apart, never put in order",
	"internal/app/dev/dev.go OpenAgent":                "number of this start, on a laptop",
	"internal/app/capacity/control.go subscribe":       "number of this start, of a measuring tool",
	"internal/app/capacity/control.go submit":          "an id, unique by chance",
	"internal/app/capacity/streams.go stream":          "an id, unique by chance",
	"internal/app/load/load.go Main":                   "a prefix of ids, unique by chance",
	"internal/app/ctl/trace.go byTime":                 "log lines of several hosts, put in order for a reader",
	"internal/app/control/loop.go now":                 "a start that the steady clock advances",
	"internal/app/capacity/page.go replicaChangeBytes": "a fixed time in an example",
	"internal/core/state/claims.go putClaim":           "the state's own time, which control advances by the steady clock",
}

// Symptom: after a step of a host's clock, silence is not noticed, or something
// that is kept for an hour is dropped at once.
// Sequence: the time of day jumps by seconds or hours, and perhaps back.
// Cause: a point in time that is stored as a number, or read from one, has lost its
// steady clock; differences of such points follow the time of day.
func TestTimeOfDayDecidesNothing(t *testing.T) {
	stripping := []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "UTC"}
	found := map[string]bool{}
	for _, root := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("../../..", root), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			name := filepath.ToSlash(strings.TrimPrefix(path, "../../../"))
			for _, decl := range f.Decls {
				fn, ok := decl.(*ast.FuncDecl)
				if !ok {
					continue
				}
				ast.Inspect(fn, func(n ast.Node) bool {
					call, ok := n.(*ast.CallExpr)
					if !ok {
						return true
					}
					sel, ok := call.Fun.(*ast.SelectorExpr)
					if !ok || !slices.Contains(stripping, sel.Sel.Name) {
						return true
					}
					if pkg, ok := sel.X.(*ast.Ident); ok && (pkg.Name == "math" || pkg.Name == "time") {
						return true // math.Round; time.Unix makes the fixed start of virtual clocks
					}
					if sel.Sel.Name == "Round" && len(call.Args) == 1 {
						return true // of a duration
					}
					place := name + " " + fn.Name.Name
					found[place] = true
					if timeOfDay[place] == "" {
						t.Errorf("%s calls %s: a step of the clock would show", place, sel.Sel.Name)
					}
					return true
				})
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for place := range timeOfDay {
		if !found[place] {
			t.Errorf("%s does not take a point in time apart any more", place)
		}
	}
}
