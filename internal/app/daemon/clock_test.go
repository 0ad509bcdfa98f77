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

// allowedWallClock lists the functions that may use the wall-clock reading of a time.Time,
// by file and name, with the reason why a step of the wall clock does no harm there.
var allowedWallClock = map[string]string{
	"internal/app/agent/agent.go New":                  "incarnation number; on a host whose clock was set back it is refused until the clock has caught up",
	"internal/app/entry/entry.go New":                  "incarnation number; compared for equality only, never ordered",
	"internal/app/dev/dev.go OpenAgent":                "incarnation number, in the development system",
	"internal/app/capacity/control.go subscribe":       "incarnation number, of a measuring tool",
	"internal/app/capacity/control.go submit":          "an id, not expected to repeat",
	"internal/app/capacity/streams.go stream":          "an id, not expected to repeat",
	"internal/app/load/load.go Main":                   "a prefix of ids, not expected to repeat",
	"internal/app/ctl/trace.go byTime":                 "log lines of several hosts, sorted for display",
	"internal/app/control/loop.go now":                 "a start time that the monotonic clock advances",
	"internal/app/capacity/page.go replicaChangeBytes": "a fixed time in an example",
	"internal/core/state/claims.go putClaim":           "the state's own time, which control advances by the monotonic clock",
}

// A step of a host's wall clock, by seconds or hours, forward or back, must not affect any
// decision: a silent process would not be noticed, or something that is kept for an hour
// would be dropped at once. A time.Time that is converted to or from a number loses its
// monotonic clock reading, and differences of such times follow the wall clock.
func TestWallClockAffectsNoDecision(t *testing.T) {
	wallClockMethods := []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "UTC"}
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
					if !ok || !slices.Contains(wallClockMethods, sel.Sel.Name) {
						return true
					}
					if pkg, ok := sel.X.(*ast.Ident); ok && (pkg.Name == "math" || pkg.Name == "time") {
						return true // math.Round, or time.Unix for the fixed start of a virtual clock
					}
					if sel.Sel.Name == "Round" && len(call.Args) == 1 {
						return true // Duration.Round
					}
					place := name + " " + fn.Name.Name
					found[place] = true
					if allowedWallClock[place] == "" {
						t.Errorf("%s calls %s: a step of the wall clock would affect it", place, sel.Sel.Name)
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
	for place := range allowedWallClock {
		if !found[place] {
			t.Errorf("%s does not use the wall clock any more; remove it from allowedWallClock", place)
		}
	}
}
