package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// The design size, and the budget of a node for control.
const (
	entries         = 370
	endpoints       = 1100
	controlHosts    = 18
	voters          = 5
	zones           = 11
	requestRate     = 3700.0
	tokenRate       = 1.5e6
	adapters        = 8300
	changesPerDay   = 1800.0
	wakeShare       = 0.29 // share of adapters that wake or become idle in an hour
	restartsPerDay  = 310.0
	budgetCPU       = 2.2 // % of a core
	budgetMemory    = 64.0
	budgetBytes     = 2048.0
	keyedShare      = 0.2  // assumed share of requests with an idempotency key
	worstMinute     = 10.0 // assumed rate of wakes in the worst minute, as a multiple of the hourly mean
	changesPerWake  = 2.0  // granted and ready on a wake; draining and removed when idle
	secondsPerDay   = 86400.0
	secondsPerHour  = 3600.0
	burstChanges    = 100.0
	firstTokenLimit = 1900.0 // ms
	tokenGapLimit   = 62.0   // ms
)

// replicaChangeBytes returns the size of one replica change on the wire.
func replicaChangeBytes() float64 {
	r := state.Replica{ID: 1234567, Target: ident.Target{Model: "summary", Version: "1", Adapter: "adapter-00001", AdapterVersion: "1"}, Host: "region1-gpu-0123", Bytes: 200_000_000, Phase: state.Ready, Reason: "demand from remote", Since: time.Unix(1_000_000_000, 0).UTC(), Revision: 1234568}
	b, err := json.Marshal(state.Change{Index: 1234568, Replica: &r})
	if err != nil {
		panic("invariant: capacity: " + err.Error())
	}
	return float64(len(b)) + messageOverhead
}

const messageOverhead = 90 // bytes of frame, JSON-RPC envelope and page around one change

// table builds tables in Markdown.
type table struct{ b strings.Builder }

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) head(cells ...string) {
	t.row(cells...)
	t.b.WriteString(strings.Repeat("| --- ", len(cells)) + "|\n")
}

func formatNumber(v float64) string {
	switch {
	case v >= 1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// verdict returns the text that tells whether a value is within its budget.
func verdict(v, budget float64) string {
	if v <= budget {
		return "kept"
	}
	return fmt.Sprintf("**broken, %.1fx**", v/budget)
}

// Page returns the generated part of docs/CAPACITY.md.
func Page(r *Results) string {
	var t table
	t.b.WriteString("### Measured slopes\n\nMachine: " + r.Host + ". A line value = base + slope x size is fitted through the points; spread is the largest distance of a point from it as a share of the largest value.\n\n")
	t.head("series", "value", "per", "base", "slope", "spread", "points (size: value)")
	for _, s := range r.Series {
		var ps []string
		for _, p := range s.Points {
			ps = append(ps, fmt.Sprintf("%.0f: %s", p.Size, formatNumber(p.Value)))
		}
		t.row(s.Name, s.Unit, s.SizeUnit, formatNumber(s.Base), fmt.Sprintf("%.4g", s.Slope), fmt.Sprintf("%.0f %%", 100*s.Spread), strings.Join(ps, ", "))
	}
	t.b.WriteString("\n")
	r.nodeTable(&t)
	r.controlTable(&t)
	r.eventTable(&t)
	return t.b.String()
}

// changeRates returns the changes of records and of replicas per second at the
// design size.
func changeRates() (records, replicas float64) {
	return changesPerDay / secondsPerDay, wakeShare * adapters * changesPerWake / secondsPerHour
}

// nodeTable computes the cost of control on a node.
func (r *Results) nodeTable(t *table) {
	records, replicas := changeRates()
	perRecord := r.find("catch_up_bytes").Slope * 1e3
	idle := r.find("subscriber_bytes").at(entries)
	entryBytes := idle + records*perRecord + replicas*replicaChangeBytes()
	agentBytes := idle + records*perRecord + replicas*replicaChangeBytes()*2/endpoints
	mem := r.find("view_memory").at(adapters)
	cpu := r.find("node_cpu_idle").Points
	perNode := cpu[len(cpu)-1].Value
	t.b.WriteString("### Control's cost on a node\n\n")
	t.head("role", "what", "worked out from", "value", "budget", "")
	t.row("entry", "bytes/s", fmt.Sprintf("beats %s + %.3f records/s x %s B + %.2f replica changes/s x %s B", formatNumber(idle), records, formatNumber(perRecord), replicas, formatNumber(replicaChangeBytes())), formatNumber(entryBytes), formatNumber(budgetBytes), verdict(entryBytes, budgetBytes))
	t.row("agent", "bytes/s", "beats + records + the replica changes of its own endpoint", formatNumber(agentBytes), formatNumber(budgetBytes), verdict(agentBytes, budgetBytes))
	t.row("entry, agent", "processor, % of a core", "node_cpu_idle at its largest size", formatNumber(perNode), formatNumber(budgetCPU), verdict(perNode, budgetCPU))
	t.row("entry, agent", "memory of the view, MB", fmt.Sprintf("view_memory at %d adapters", adapters), formatNumber(mem), formatNumber(budgetMemory), verdict(mem, budgetMemory))
	t.b.WriteString("\n")
}

// controlTable computes the load of one control host.
func (r *Results) controlTable(t *table) {
	records, replicas := changeRates()
	subs := float64(entries+endpoints) / controlHosts
	idle := r.find("control_cpu_idle").at(subs)
	perChange := r.find("control_cpu_per_change").between(subs)
	cpu := idle + 100*(records+replicas)*perChange/1e3
	claims := requestRate * keyedShare
	commits := 2*claims + records + replicas
	commitPoints := r.find("commits_per_second").Points
	best := commitPoints[len(commitPoints)-1].Value
	claimsKept := claims * state.ClaimRetention.Seconds()
	claimMB := r.find("state_memory_claims").Slope * claimsKept
	t.b.WriteString("### One control host of 18 (5 voters, 13 observers)\n\n")
	t.head("what", "worked out from", "value", "")
	t.row("subscribers", fmt.Sprintf("(%d + %d) / %d", entries, endpoints, controlHosts), formatNumber(subs), "")
	t.row("processor for subscribers and changes, % of a core", fmt.Sprintf("idle %s + %.2f changes/s x %s ms", formatNumber(idle), records+replicas, formatNumber(perChange)), formatNumber(cpu), "")
	t.row("a storm of one availability zone, all subscribers of a lost host moving to the others", fmt.Sprintf("subscribers x %d/%d", controlHosts, controlHosts-1), formatNumber(subs*controlHosts/(controlHosts-1)), "")
	t.row("planner on the leader, sweep, % of a core", fmt.Sprintf("one pass a second over %d loaded adapters", adapters), formatNumber(100*r.find("sweep_by_adapters").at(adapters)/1e3), verdict(100*r.find("sweep_by_adapters").at(adapters)/1e3, 100))
	t.row("planner, wakes, % of a core", fmt.Sprintf("%.2f wakes/s x decision at %d endpoints", replicas/changesPerWake, endpoints), formatNumber(100*replicas/changesPerWake*r.find("decision_by_endpoints").at(endpoints)/1e6), "")
	t.row("commits/s, one group", fmt.Sprintf("%.0f %% keyed of %.0f requests/s, opened and settled", 100*keyedShare, requestRate), formatNumber(commits), fmt.Sprintf("measured %s commits/s with 256 callers: %s", formatNumber(best), verdict(commits, best)))
	t.row("claims kept, one group", fmt.Sprintf("%.0f/s x %v", claims, state.ClaimRetention), formatNumber(claimsKept), verdict(claimsKept, state.MaxClaims))
	t.row("their memory, MB", "state_memory_claims", formatNumber(claimMB), "")
	t.row("the same in each of 3 regional groups", "a third each", fmt.Sprintf("%s claims, %s MB, %s commits/s", formatNumber(claimsKept/3), formatNumber(claimMB/3), formatNumber(commits/3)), verdict(claimsKept/3, state.MaxClaims))
	t.b.WriteString("\n")
}

// eventTable computes the load of rare events.
func (r *Results) eventTable(t *table) {
	wakes := wakeShare * adapters / secondsPerHour
	fullCopy := float64(len(sampleRecord("a", adapters, 0)))
	returning := float64(entries+endpoints) / zones
	worst := r.find("in_force_slowest").between(float64(entries+endpoints) / controlHosts)
	perTokenAdded := r.find("stream_cpu")
	perEntry := tokenRate / entries
	t.b.WriteString("### Events\n\n")
	t.head("event", "worked out from", "value")
	t.row("wakes in the mean second", fmt.Sprintf("%.0f %% of %d adapters an hour", 100*wakeShare, adapters), formatNumber(wakes))
	t.row("wakes a second in the worst minute", fmt.Sprintf("%.0f times the mean, assumed", worstMinute), formatNumber(worstMinute*wakes)+" (store limits of today: 10 and 7 loads/s)")
	t.row("a change in force at the slowest of one host's subscribers, ms", "in_force_slowest, between its points; 60 changes at 20 a second", formatNumber(worst)+" each; 7,000 allowed")
	t.row("bytes of 100 changes to one node, KB", "catch_up_bytes", formatNumber(r.find("catch_up_bytes").at(burstChanges)))
	t.row("restarts, each with a full copy, bytes/s over all", fmt.Sprintf("%.0f a day x %s KB", restartsPerDay, formatNumber(fullCopy/1e3)), formatNumber(restartsPerDay*fullCopy/secondsPerDay))
	t.row("an availability zone comes back: processes", fmt.Sprintf("1/%d of all", zones), formatNumber(returning))
	t.row("the full copies they need, MB per control host", fmt.Sprintf("%s KB each over %d hosts", formatNumber(fullCopy/1e3), controlHosts), formatNumber(returning*fullCopy/1e6/controlHosts))
	t.row("tokens/s of one entry", fmt.Sprintf("%.1f M over %d", tokenRate/1e6, entries), formatNumber(perEntry))
	t.row("processor for them, entry and agent together, % of a core", "stream_cpu", formatNumber(perTokenAdded.at(perEntry)))
	t.row("time that entry and agent add to a warm request, ms", "p50 and p99 through them less the engine's own", fmt.Sprintf("%.2f and %.2f of %.0f to the first token", (r.Single["warm_via_p50_us"]-r.Single["warm_direct_p50_us"])/1e3, (r.Single["warm_via_p99_us"]-r.Single["warm_direct_p99_us"])/1e3, firstTokenLimit))
	t.row("between tokens, ms", "one message each way; the added time above bounds it", fmt.Sprintf("%.2f of %.0f", (r.Single["warm_via_p99_us"]-r.Single["warm_direct_p99_us"])/1e3, tokenGapLimit))
	t.b.WriteString("\n")
}
