package slope

import (
	"fmt"
	"strings"
)

const (
	microsPerSecond       = 1e6
	framingBytes          = 120.0    // bytes of gRPC and TCP overhead of a small message and its response
	gossipBytesPerSecond  = 2048.0   // spent by an instance on the gossip messages that it initiates
	seatUpdatesPerSecond  = 5.0      // promises and renewals of seats in a data centre of five instances
	loanMessagesPerSecond = 60.5     // per instance, according to the fleet-360 script of the quota command
	loanMessageBytes      = 190.0    // mean size of a loan message
	renewalSeconds        = 5.0      // between renewals of a seat
	coreBudget            = 0.022    // cores for the control work of an instance
	memoryBudget          = 64 << 20 // bytes for the control work of an instance
	networkBudget         = 15e3     // bytes per second for the control traffic of an instance
	loadReportBytes       = 250.0    // size of a load report over HTTP
)

// roleTable returns the table of the CPU time, memory and network traffic that
// each role needs at the planned size.
func (m *measurements) roleTable() string {
	// Network traffic of an instance in bytes per second.
	peers := instancesPerCentre - 1
	targetsPerInstance := float64(Engines) / Instances // one instance polls each target, and a second one every fifth time: 1.2 polls a second
	heartbeatRate := (m.heartbeatSize.At(targetsPerInstance) + framingBytes) * peers * 2
	gossipRate := 2 * (gossipBytesPerSecond + framingBytes)
	gossipSeconds := m.gossipSize.At(Instances) / gossipBytesPerSecond // between gossip messages
	loanRate := loanMessagesPerSecond * loanMessageBytes               // the script counts a message and its response as two
	pollRate := targetsPerInstance * 1.2 * loadReportBytes
	changeRate := float64(ChangesPerDay) / 86400 * m.storedDocumentBytes
	networkRate := heartbeatRate + gossipRate + loanRate + pollRate + changeRate

	// CPU time of an instance in cores.
	roundCores := 2 * m.lenderRound.At(Customers) / microsPerSecond
	updateCores := seatUpdatesPerSecond * m.seatUpdate.At(Customers) / microsPerSecond
	gossipCores := 2 * m.gossipExchange.At(Instances) / microsPerSecond / gossipSeconds
	parseCores := float64(ChangesPerDay) / 86400 * m.documentParse.At(Customers) / microsPerSecond
	seatCores := m.seatPlan.At(5) / microsPerSecond / renewalSeconds
	totalCores := roundCores + updateCores + gossipCores + parseCores + seatCores

	memoryBytes := m.lenderHeap.At(Customers) + 2*m.documentHeap.At(Customers) + m.memberListHeap.At(Instances) +
		m.pickerHeap.At(float64(Engines)/Centres)

	// Calls to the store per second, and open watches.
	storeWrites := Instances/renewalSeconds + float64(ChangesPerDay)*2/86400 + float64(RestartsPerDay)*3/86400
	storeReads := Instances/renewalSeconds + Centres/30.0
	watches := 1.0 * Centres

	var b strings.Builder
	b.WriteString("| role | grows with | at the planned size | limit |\n|---|---|---|---|\n")
	row := func(role, growth, value, limit string) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", role, growth, value, limit)
	}
	row("instance: lender's rounds", "customers", percent(roundCores), "")
	row("instance: seats' parts", "customers, instances of the data centre", percent(updateCores), "")
	row("instance: rolls", "instances (their rate falls as they grow)", fmt.Sprintf("%s, %.1f KB/s, one in %.1f s", percent(gossipCores), gossipRate/1e3, gossipSeconds), "")
	row("instance: heartbeats", "instances of the data centre, targets it reads", fmt.Sprintf("%.1f KB/s", heartbeatRate/1e3), "")
	row("instance: loans", "demand away from its share", fmt.Sprintf("%.1f KB/s", loanRate/1e3), "")
	row("instance: load reports", "engines / instances", fmt.Sprintf("%.1f targets, %.1f KB/s", targetsPerInstance, pollRate/1e3), "")
	row("instance: changes of configuration", "changes, size of the document", fmt.Sprintf("%s; the data centre's reader %.1f KB/s, others the change alone", percent(parseCores), changeRate/1e3), "")
	row("instance: seat renewals", "seats of the data centre", percent(seatCores), "")
	row("**instance: control in all**", "", fmt.Sprintf("**%s, %.1f MB, %.1f KB/s**", percent(totalCores), memoryBytes/(1<<20), networkRate/1e3),
		fmt.Sprintf("%s, %d MB, %.0f KB/s", percent(coreBudget), memoryBudget>>20, networkBudget/1e3))
	row("store: writes", "instances / 5 s, changes, restarts", fmt.Sprintf("%.0f a second, and claims: at most 64 buckets' group commits for each instance with once-only calls", storeWrites), "several hundred a second")
	row("store: reads", "instances / 5 s, readers of a data centre", fmt.Sprintf("%.0f a second", storeReads), "2000 a second")
	row("store: waiting watches", "1 for each data centre", fmt.Sprintf("%.0f", watches), "counted as calls when they end, every 30 s")
	row("writer of a claim bucket", "records of the bucket", fmt.Sprintf("%.2f ms to change a bucket of 1000 records, before it is encoded; one write on its way at a time", m.claimUpdate.At(1000)/1e3), "a megabyte a bucket")
	row("link between regions", "instances of a region", fmt.Sprintf("%.0f KB/s for a region of %.0f instances: rolls and loans", (gossipRate+loanRate)/1e3*Instances/Regions, float64(Instances)/Regions), "140 Mbit/s, shared with calls")
	row("target: load reports", "a reader and a spare", "1.2 a second", "")
	return b.String()
}

func percent(cores float64) string { return fmt.Sprintf("%.2f%% of a core", 100*cores) }
