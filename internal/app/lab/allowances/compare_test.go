package allowances

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a production method that admits more than the tolerated excess, or that
// refuses much of what customers may use.
func TestProductionMethodKeepsAllowancesInEveryScenario(t *testing.T) {
	is := is.New(t)
	for _, sc := range scenarios() {
		o := run(newProduction, sc, 31, 3)
		t.Logf("%s: refused %.4f, excess %.2f, %.0f bytes a second", sc.name, o.Refused, o.Excess, o.Bytes)
		is.True(o.Excess <= 1)
		is.True(o.Refused < 0.03)
		is.True(o.Bytes < 2048)
	}
}

// Guards against a comparison that does not show the cost of dividing allowances evenly, the
// method that refuses most.
func TestEvenSplitRefusesWhatCustomersMayUse(t *testing.T) {
	is := is.New(t)
	is.True(run(newEvenSplit, scenarios()[0], 31, 3).Refused > 0.1)
}

func TestTable(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(Table(&b, []Outcome{{Method: "w", Scenario: "s", Refused: 0.5, Excess: 0.25}}))
	is.True(strings.Contains(b.String(), "50.00 %"))
	is.True(strings.Contains(b.String(), "25 % of tolerated"))
}
