package slope

import (
	"fmt"
	"strings"
)

const (
	second       = 1e6    // microseconds
	framing      = 120.0  // bytes of gRPC and TCP around a small message and its answer
	rollBudget   = 2048.0 // bytes a second that an instance spends on its own rolls
	holdRate     = 5.0    // promises and renewals a second in a data centre of five
	lendMessages = 60.5   // a second for each instance, by the fleet-360 script of the quota command
	lendBytes    = 190.0  // of one
	renewSeconds = 5.0    // between renewals of a seat
	coreBudget   = 0.022  // of a core
	memoryBudget = 64 << 20
	byteBudget   = 15e3
	pollBytes    = 250.0 // of a load report over HTTP
)

// roleTable works out what each role needs at the planned size.
func (m *measured) roleTable() string {
	mates := perCentre - 1
	perTarget := float64(Engines) / Instances // one instance reads each target, and a spare one in five
	pulse := (m.pulse.Line(perTarget) + framing) * mates * 2
	rolls := 2 * (rollBudget + framing)
	rollEvery := m.roll.Line(Instances) / rollBudget
	lend := lendMessages * lendBytes // a message and its answer count as two there
	polls := perTarget * 1.2 * pollBytes
	changes := float64(Changes) / 86400 * m.stored
	bytes := pulse + rolls + lend + polls + changes

	round := 2 * m.round.Line(Customers) / second
	hold := holdRate * m.hold.Line(Customers) / second
	hear := 2 * m.hear.Line(Instances) / second / rollEvery
	parse := float64(Changes) / 86400 * m.parse.Line(Customers) / second
	seats := m.seatPlan.Line(5) / second / renewSeconds
	core := round + hold + hear + parse + seats

	memory := m.lenderHeap.Line(Customers) + 2*m.documentHeap.Line(Customers) + m.rosterHeap.Line(Instances) +
		m.pickerHeap.Line(float64(Engines)/Centres)

	storeWrites := Instances/renewSeconds + float64(Changes)*2/86400 + float64(Restarts)*3/86400
	storeReads := Instances/renewSeconds + Centres/30.0
	watches := 1.0 * Centres

	var b strings.Builder
	b.WriteString("| role | grows with | at the planned size | limit |\n|---|---|---|---|\n")
	row := func(role, with, value, limit string) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", role, with, value, limit)
	}
	row("instance: lender's rounds", "customers", percent(round), "")
	row("instance: seats' parts", "customers, instances of the data centre", percent(hold), "")
	row("instance: rolls", "instances (their rate falls as they grow)", fmt.Sprintf("%s, %.1f KB/s, one in %.1f s", percent(hear), rolls/1e3, rollEvery), "")
	row("instance: heartbeats", "instances of the data centre, targets it reads", fmt.Sprintf("%.1f KB/s", pulse/1e3), "")
	row("instance: loans", "demand away from its share", fmt.Sprintf("%.1f KB/s", lend/1e3), "")
	row("instance: load reports", "engines / instances", fmt.Sprintf("%.1f targets, %.1f KB/s", perTarget, polls/1e3), "")
	row("instance: changes of configuration", "changes, size of the document", fmt.Sprintf("%s; the data centre's reader %.1f KB/s, others the change alone", percent(parse), changes/1e3), "")
	row("instance: seat renewals", "seats of the data centre", percent(seats), "")
	row("**instance: control in all**", "", fmt.Sprintf("**%s, %.1f MB, %.1f KB/s**", percent(core), memory/(1<<20), bytes/1e3),
		fmt.Sprintf("%s, %d MB, %.0f KB/s", percent(coreBudget), memoryBudget>>20, byteBudget/1e3))
	row("store: writes", "instances / 5 s, changes, restarts", fmt.Sprintf("%.0f a second, and claims: at most 64 buckets' group commits for each instance with once-only calls", storeWrites), "several hundred a second")
	row("store: reads", "instances / 5 s, readers of a data centre", fmt.Sprintf("%.0f a second", storeReads), "2000 a second")
	row("store: waiting watches", "1 for each data centre", fmt.Sprintf("%.0f", watches), "counted as calls when they end, every 30 s")
	row("writer of a claim bucket", "records of the bucket", fmt.Sprintf("%.2f ms to change a bucket of 1000 records, before it is encoded; one write on its way at a time", m.claimBucket.Line(1000)/1e3), "a megabyte a bucket")
	row("link between regions", "instances of a region", fmt.Sprintf("%.0f KB/s for a region of %.0f instances: rolls and loans", (rolls+lend)/1e3*Instances/Regions, float64(Instances)/Regions), "140 Mbit/s, shared with calls")
	row("target: load reports", "a reader and a spare", "1.2 a second", "")
	return b.String()
}

func percent(core float64) string { return fmt.Sprintf("%.2f%% of a core", 100*core) }
