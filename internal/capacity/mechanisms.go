package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Mechanism compares a requirement of the fleet with what the system achieves today. A smaller value
// is better; for a requirement of which the reverse is true, Required and Achieved change places.
type Mechanism struct {
	Need      string
	Required  float64  // the most that the requirement allows, in Unit
	Achieved  Interval // in Unit
	Unit      string
	Component string  // the part of the system that has to meet the requirement; empty: there is none
	Ratio     float64 // Achieved.Value divided by Required; infinite if there is no Component
	Remark    string
}

// mechanism returns the comparison for a requirement that a component has to meet.
func mechanism(need string, required float64, achieved Interval, unit, component, remark string) Mechanism {
	return Mechanism{need, required, achieved, unit, component, achieved.Value / required, remark}
}

// missing returns the comparison for a requirement that no component meets.
func missing(need, remark string) Mechanism {
	return Mechanism{Need: need, Ratio: math.Inf(1), Remark: remark}
}

// mechanisms returns the comparisons for all requirements, in descending order of their ratios: the
// requirements that are missed most come first.
func mechanisms(c *curves) []Mechanism {
	sizes := ServiceSizes()
	lengths := assumedListLengths()
	reload := c.at(CommandReload, "elapsed time", Servers)
	commandBytes := c.at(CommandBytes, "sent to a host", Servers).plus(c.at(CommandBytes, "received from a host", Servers))
	budget := make(map[string]Estimate)
	for _, estimate := range budgetEstimates(c) {
		budget[estimate.Quantity] = estimate
	}
	badMinuteProcessor, controlMemory := budget["processor time, bad minute"], budget["resident memory of both"]
	listBytes := c.at(CompleteList, "bytes of a server on the wire", lengths.typical).times(lengths.typical / ConvergeSeconds)
	const relays = "`internal/fleet/distribution`"
	const command, peers, watch = "one command (`internal/fleet/control/client`)", "`internal/peers`", "`internal/discovery`"
	all := []Mechanism{
		missing("an acknowledged change outlives the loss of the writer's disk", "what no relay had copied is lost; an operator promotes a relay"),
		mechanism("settings in force at all hosts", ConvergeSeconds, c.at(Distribution, "change for all, all", Servers), "s", relays, "with 1 s in which changes are gathered; a sidecar's own time to apply comes on top"),
		mechanism("settings reach hosts that were away", ConvergeSeconds, c.at(Distribution, "a ninth back after a cut, all", Servers), "s", relays, "after their return"),
		mechanism("it is known whether a change is in force everywhere", ConvergeSeconds, c.at(Distribution, "change for all, known at the writer", Servers), "s", relays, ""),
		mechanism("settings at all hosts when all start at once", ConvergeSeconds, c.at(Distribution, "after a loss of power, all", Servers), "s", relays, "21,000 handshakes of mutual TLS, both ends on one machine of 8 cores; hosts go on with what they accepted last"),
		mechanism("13,000 changes a day by commands, one after the other", secondsPerDay/float64(ChangesPerDay), reload, "s", command, "the way before; settings go by relays now, restarts and upgrades still go this way"),
		mechanism("one command to all hosts", ConvergeSeconds, reload, "s", command, "if it could run: see descriptors and memory"),
		mechanism("bytes of a change at each host, within 16 s", ControlBytesPerSecond, commandBytes.times(1/ConvergeSeconds), "B/s", command, "the list of all targets goes to each host"),
		mechanism("memory of the process that directs a change", float64(controlMachineGibibytes<<10), c.at(CommandReload, "peak memory of the command", Servers), "MiB", command, "limit assumed"),
		mechanism("descriptors of the process that directs a change", ProcessDescriptors, c.at(CommandReload, "descriptors of the command", Servers), "descriptors", command, "it does not start to change anything: the last hosts can't be reached"),
		mechanism("membership of all sidecars after all start", ConvergeSeconds, c.at(Membership, "time to converge", Servers), "s", peers, "16 s is borrowed; no need asks for one membership of all"),
		mechanism("membership of those that call the largest service", ConvergeSeconds, c.at(Membership, "time to converge", callersOfLargest(sizes)), "s", peers, "16 s is borrowed"),
		mechanism("membership of the largest service's own sidecars", ConvergeSeconds, c.at(Membership, "time to converge", float64(sizes[0])), "s", peers, "16 s is borrowed; by configuration, one fleet name for each service"),
		mechanism("the loss of a zone is known in a membership of all", ConvergeSeconds, c.at(MembershipChange, "a zone (one in 27) lost", Servers), "s", peers, "16 s is borrowed"),
		mechanism("bytes of a whole server list at a start, over 16 s", ControlBytesPerSecond, listBytes, "B/s", watch, "5 services"),
		// More services are better, so the two numbers change places: 1 is achieved, and servicesCalled
		// is required.
		mechanism("services that one sidecar can call", 1, exact(servicesCalled), "services", "one list of one service for each sidecar", "needed: 5, assumed; there: 1"),
		mechanism("2 ms added at 7 deep, for 99 in 100", MaxAddedMilliseconds, c.at(Chain, "difference of the 99th percentiles", lengths.typical), "ms", "`internal/downstream`, `internal/upstream`, the root package", "seven together"),
		mechanism("2 ms added by one sidecar, for 99 in 100", MaxAddedMilliseconds, c.at(CallRate, "difference of the 99th percentiles", callsPerSidecar), "ms", "the same", ""),
		mechanism("a change of the server list is known", ConvergeSeconds, exact(6), "s", watch, "bound in the code, tested there"),
		mechanism("processor time for control in a bad minute", ControlCorePercent, badMinuteProcessor.Value, "% of a core", "agent and sidecar", "settings by reload"),
		mechanism("memory for control, sidecar and agent", controlMebibytes, controlMemory.Value, "MiB", "agent and sidecar", "5 services, one sidecar on the host"),
		mechanism("descriptors of a sidecar", ProcessDescriptors, c.at(CallRate, "descriptors", callsPerSidecar), "descriptors", "`internal/upstream`", ""),
	}
	slices.SortStableFunc(all, func(a, b Mechanism) int { return -cmp.Compare(a.Ratio, b.Ratio) })
	return all
}
