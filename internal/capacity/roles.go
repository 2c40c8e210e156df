package capacity

import "fmt"

// Estimate is a figure of the page at the required size.
type Estimate struct {
	Quantity string
	Source   string // the measurements, sizes and assumptions that it is computed from
	Value    Interval
	Unit     string  // of Value and Limit
	Limit    float64 // the most that is allowed, in Unit; 0: no limit is set
}

// limitRatio returns the value divided by its limit. The limit must be above 0.
func (e Estimate) limitRatio() float64 { return e.Value.Value / e.Limit }

// exact returns an interval of width 0: for a value that is not measured, such as one that follows from
// requirements and assumptions, and for one that the page shows without its interval.
func exact(value float64) Interval { return Interval{value, value, value} }

// Role is a part of the system with the estimates for it. Its name selects the table "role NAME".
type Role struct {
	Name      string
	Estimates []Estimate
}

// listLengths are the lengths of the server lists that the estimates assume, in servers.
type listLengths struct {
	typical, max, all float64 // the list of a sidecar that calls 5 services, 20 services, all services
}

// assumedListLengths returns the list lengths that follow from the assumed service sizes.
func assumedListLengths() listLengths {
	sizes := ServiceSizes()
	return listLengths{typical: meanListLength(sizes, servicesCalled), max: meanListLength(sizes, maxServicesCalled), all: Servers}
}

// roles computes the estimates of all roles. They are valid only if c.err is nil afterwards.
func roles(c *curves) []Role {
	return []Role{
		{"path", pathEstimates(c)},
		{"server-list", serverListEstimates(c)},
		{"connections", connectionEstimates(c)},
		{"membership", membershipEstimates(c)},
		{"settings", settingsEstimates(c)},
		{"distribution", distributionEstimates(c)},
		{"agent", agentEstimates(c)},
		{"director", directorEstimates(c)},
		{"keys", keysEstimates(c)},
		{"return", returnEstimates(c)},
		{"budget", budgetEstimates(c)},
	}
}

// pathEstimates returns the estimates for what sidecars add to a call, and what a sidecar uses.
func pathEstimates(c *curves) []Estimate {
	listLength := assumedListLengths().typical
	return []Estimate{
		{"99th percentile that seven sidecars add to a call", "chain, 30 servers", c.at(Chain, "difference of the 99th percentiles", 30), "ms", MaxAddedMilliseconds},
		{"the same", "chain, 300 servers", c.at(Chain, "difference of the 99th percentiles", 300), "ms", MaxAddedMilliseconds},
		{"the same", "chain, 3,000 servers", c.at(Chain, "difference of the 99th percentiles", 3000), "ms", MaxAddedMilliseconds},
		{"the same", fmt.Sprintf("chain, %s servers", formatNumber(listLength)), c.at(Chain, "difference of the 99th percentiles", listLength), "ms", MaxAddedMilliseconds},
		{"99th percentile that one sidecar adds", "call-rate, 62 calls a second", c.at(CallRate, "difference of the 99th percentiles", callsPerSidecar), "ms", MaxAddedMilliseconds},
		{"calls that reach the last of seven, for each made", "chain, 300 servers", c.at(Chain, "calls that reach the last server, for each made", 300), "calls", 0},
		{"processor time of one sidecar", "call-rate, 62 calls a second", c.at(CallRate, "processor time", callsPerSidecar), "% of a core", 0},
		{"resident memory of one sidecar", fmt.Sprintf("chain, %s servers", formatNumber(listLength)), c.at(Chain, "resident memory of a sidecar", listLength), "MiB", controlMebibytes},
		{"processor time of all decisions about a call", "decision, 21,000 servers", c.at(Decision, "processor time", Servers), "us", 0},
	}
}

// serverListEstimates returns the estimates for what following a server list costs a sidecar.
func serverListEstimates(c *curves) []Estimate {
	lengths := assumedListLengths()
	var estimates []Estimate
	for _, list := range []struct {
		name   string
		length float64
	}{
		{fmt.Sprintf("5 services: %s servers", formatNumber(lengths.typical)), lengths.typical},
		{fmt.Sprintf("20 services: %s servers", formatNumber(lengths.max)), lengths.max},
		{"all 21,000 servers", lengths.all},
	} {
		estimates = append(estimates, listEstimates(c, list.name, list.length)...)
	}
	return append(estimates,
		Estimate{"services that one sidecar calls", "assumed: 5; a sidecar follows one list, of one service", exact(servicesCalled), "services", 1},
		Estimate{"messages at rest", "an empty line at least each 2 s, on which the watch relies in the code", exact(0.5), "lines/s", 0},
		Estimate{"time until a change is known", "the bound of discovery's watch, in the code", exact(6), "s", ConvergeSeconds})
}

// listEstimates returns the estimates for a server list of the given length. The name begins the
// quantity of each.
func listEstimates(c *curves, name string, length float64) []Estimate {
	share := length / Servers
	bytesPerServer := c.at(CompleteList, "bytes of a server on the wire", length)
	bytesPerChange := c.at(ListChange, "bytes on the wire", length).Value
	microsecondsPerChange := c.at(ListChange, "processor time", length)
	meanChangesPerSecond := RestartsPerDay * listChangesPerRestart * share / secondsPerDay
	zoneLossChangesPerSecond := serversPerZone * share / ConvergeSeconds
	return []Estimate{
		{name + ": heap", "whole-list", c.at(CompleteList, "heap of a server", length).times(length / bytesPerMebibyte), "MiB", controlMebibytes},
		{name + ": bytes, ordinary day", "5,400 restarts, 3 changes each", exact(meanChangesPerSecond * bytesPerChange), "B/s", ControlBytesPerSecond},
		{name + ": bytes, a zone lost, over 16 s", "778 changes at once", exact(zoneLossChangesPerSecond * bytesPerChange), "B/s", ControlBytesPerSecond},
		{name + ": bytes, whole list at a start, over 16 s", "whole-list", bytesPerServer.times(length / ConvergeSeconds), "B/s", ControlBytesPerSecond},
		{name + ": processor time, ordinary day", "list-change", microsecondsPerChange.times(meanChangesPerSecond / microsecondsPerSecond * 100), "% of a core", ControlCorePercent},
		{name + ": processor time, a zone lost, over 16 s", "list-change", microsecondsPerChange.times(zoneLossChangesPerSecond / microsecondsPerSecond * 100), "% of a core", ControlCorePercent},
		{name + ": processor time, whole list at a start, over 16 s", "whole-list", c.at(CompleteList, "processor time", length).times(100 / millisecondsPerSecond / ConvergeSeconds), "% of a core", ControlCorePercent},
	}
}

// connectionEstimates returns the estimates for file descriptors of a sidecar.
func connectionEstimates(c *curves) []Estimate {
	listLength := assumedListLengths().typical
	return []Estimate{
		{"descriptors of a sidecar with 300 servers on its list", "call-rate, 62 calls a second", c.at(CallRate, "descriptors", callsPerSidecar), "descriptors", ProcessDescriptors},
		{"descriptors of a sidecar by its list", fmt.Sprintf("chain, %s servers", formatNumber(listLength)), c.at(Chain, "descriptors of a sidecar", listLength), "descriptors", ProcessDescriptors},
	}
}

// membershipEstimates returns the estimates for the membership protocol of internal/peers.
func membershipEstimates(c *curves) []Estimate {
	sizes := ServiceSizes()
	largest, callers := float64(sizes[0]), callersOfLargest(sizes)
	converge := func(members float64) Interval { return c.at(Membership, "time to converge", members) }
	return []Estimate{
		{"all start at once: one of the largest service's sidecars knows the others", fmt.Sprintf("membership, %s members", formatNumber(largest)), converge(largest), "s", ConvergeSeconds},
		{"the same, all that call the largest service", fmt.Sprintf("membership, %s members", formatNumber(callers)), converge(callers), "s", ConvergeSeconds},
		{"the same, all sidecars", "membership, 21,000 members", converge(Servers), "s", ConvergeSeconds},
		{"one restart is known", "membership-change, 21,000 members", c.at(MembershipChange, "one restart", Servers), "s", ConvergeSeconds},
		{"the loss of a zone is known", "membership-change, 21,000 members", c.at(MembershipChange, "a zone (one in 27) lost", Servers), "s", ConvergeSeconds},
		{"bytes sent by a sidecar", "the ceiling in the code; membership", exact(maxMembershipBytesPerSecond), "B/s", ControlBytesPerSecond},
		{"heap of a node that knows nobody yet", "membership-memory, 21,000 members", c.at(MembershipMemory, "heap of a node", Servers).times(1.0 / bytesPerMebibyte), "MiB", controlMebibytes},
		{"processor time", "membership, 21,000 members", c.at(Membership, "processor time a second and sidecar", Servers).times(100 / microsecondsPerSecond), "% of a core", ControlCorePercent},
	}
}

// maxMembershipBytesPerSecond is the rate limit in the default configuration of internal/peers.
const maxMembershipBytesPerSecond = 600

// Objectives and assumptions for the distribution of settings. The first two are limits that are
// stricter than the requirements.
const (
	nearlyAllHostsSeconds        = 5                               // within which a change takes effect at 999 hosts in 1,000
	maxRestBytesPerSecond        = 300                             // of a subscriber, sent and received
	subscribersWithHalfTheRelays = Servers / (ControlMachines / 2) // mean number for each relay if half of the relays are lost
)

// distributionEstimates returns the estimates for the distribution of settings by a writer and
// relays.
func distributionEstimates(c *curves) []Estimate {
	at := func(metric string) Interval { return c.at(Distribution, metric, Servers) }
	restBytes := at("received by a subscriber at rest").plus(at("sent by a subscriber at rest"))
	return []Estimate{
		{"a change that concerns all, at 999 hosts in 1,000", "distribution", at("change for all, 999 in 1,000"), "s", nearlyAllHostsSeconds},
		{"the same, at all", "distribution", at("change for all, all"), "s", ConvergeSeconds},
		{"the same, and the writer knows", "distribution", at("change for all, known at the writer"), "s", ConvergeSeconds},
		{"a change that concerns one service, at all of it", "distribution", at("change for one service, all"), "s", ConvergeSeconds},
		{"ten times an ordinary day's rate, the slowest change, at all", "distribution", at("ten times the rate, worst, all"), "s", ConvergeSeconds},
		{"two of 16 relays killed, the slowest change, at all", "distribution", at("two relays killed, worst, all"), "s", ConvergeSeconds},
		{"a ninth cut off for 10 s: all changes, after its return", "distribution", at("a ninth back after a cut, all"), "s", ConvergeSeconds},
		{"all start at once, both ends on one machine of 8 cores", "distribution", at("all start at once, all"), "s", ConvergeSeconds},
		{"the same after a loss of power", "distribution", at("after a loss of power, all"), "s", ConvergeSeconds},
		{"bytes of a subscriber at rest, both ways", "distribution", restBytes, "B/s", maxRestBytesPerSecond},
		{"bytes that a subscriber receives at ten times the rate", "distribution", at("received by a subscriber at ten times the rate"), "B/s", ControlBytesPerSecond},
		{"processor time of a subscriber at ten times the rate", "distribution", at("processor time of a subscriber at ten times the rate"), "% of a core", ControlCorePercent},
		{"memory of a subscriber, its part of a process", "distribution", at("memory of a subscriber"), "MiB", controlMebibytes},
		{"processor time of the busiest of 16 relays at ten times the rate", "distribution", at("processor time of the busiest relay at ten times the rate"), "% of a core", 100},
		{"memory of the largest of 16 relays", "distribution", at("memory of the largest relay at ten times the rate"), "MiB", float64(controlMachineGibibytes << 10)},
		{"descriptors of the fullest of 16 relays", "distribution", at("descriptors of the fullest relay"), "descriptors", ProcessDescriptors},
		{"subscribers of a relay, half of the relays gone, mean", "21,000 divided", exact(subscribersWithHalfTheRelays), "subscribers", 0},
	}
}

// settingsEstimates returns the estimates for changes of settings by commands to all hosts.
func settingsEstimates(c *curves) []Estimate {
	elapsed := c.at(CommandReload, "elapsed time", Servers)
	bytes := c.at(CommandBytes, "sent to a host", Servers).plus(c.at(CommandBytes, "received from a host", Servers))
	return []Estimate{
		{"one change, one command to all hosts", "command-reload, 21,000 hosts", elapsed, "s", ConvergeSeconds},
		{"changes one after the other: time of each", "command-reload, 21,000 hosts; 13,000 a day", elapsed, "s", secondsPerDay / float64(ChangesPerDay)},
		{"bytes to and from each host, over 16 s", "command-bytes, 21,000 hosts", bytes.times(1 / ConvergeSeconds), "B/s", ControlBytesPerSecond},
	}
}

// agentEstimates returns the estimates for an agent, by the number of sidecars on its host and the
// rate of settings changes.
func agentEstimates(c *curves) []Estimate {
	var estimates []Estimate
	for _, sidecars := range []float64{1, typicalSidecarsPerHost, maxSidecarsPerHost} {
		estimates = append(estimates, Estimate{
			fmt.Sprintf("at rest, sidecars on the host: %.0f: processor time", sidecars), "agent",
			c.at(Agent, "processor time of the agent", sidecars), "% of a core", ControlCorePercent * sidecars,
		}, Estimate{
			fmt.Sprintf("at rest, sidecars on the host: %.0f: resident memory", sidecars), "agent",
			c.at(Agent, "resident memory of the agent", sidecars), "MiB", controlMebibytes * sidecars,
		})
	}
	meanChangesPerMinute := float64(ChangesPerDay) / minutesPerDay
	return append(estimates,
		Estimate{"one sidecar, 9 changes of settings a minute: processor time", "settings-change", c.at(SettingsChange, "processor time of the agent", meanChangesPerMinute), "% of a core", ControlCorePercent},
		Estimate{"one sidecar, 90 changes a minute: processor time", "settings-change", c.at(SettingsChange, "processor time of the agent", badMinuteFactor*meanChangesPerMinute), "% of a core", ControlCorePercent},
		Estimate{"one sidecar, 9 changes a minute: resident memory", "settings-change", c.at(SettingsChange, "resident memory of the agent", meanChangesPerMinute), "MiB", controlMebibytes},
		Estimate{"messages to each sidecar, on the host itself", "intervals in the code: health 1 s, metrics 10 s", exact(1.1), "calls/s", 0},
		Estimate{"10 sidecars: descriptors", "agent", c.at(Agent, "descriptors of the agent", maxSidecarsPerHost), "descriptors", ProcessDescriptors})
}

// directorEstimates returns the estimates for the process that runs a command for all hosts.
func directorEstimates(c *curves) []Estimate {
	machineMebibytes := float64(controlMachineGibibytes << 10)
	return []Estimate{
		{"reload: descriptors", "command-reload, 21,000 hosts", c.at(CommandReload, "descriptors of the command", Servers), "descriptors", ProcessDescriptors},
		{"reload: peak memory", "command-reload, 21,000 hosts; limit: 24 GiB, assumed", c.at(CommandReload, "peak memory of the command", Servers), "MiB", machineMebibytes},
		{"reload: processor time", "command-reload, 21,000 hosts", c.at(CommandReload, "processor time of the command", Servers), "s", 0},
		{"reload: elapsed time", "command-reload, 21,000 hosts", c.at(CommandReload, "elapsed time", Servers), "s", ConvergeSeconds},
		{"list: descriptors", "command-list, 21,000 hosts", c.at(CommandList, "descriptors of the command", Servers), "descriptors", ProcessDescriptors},
		{"list: peak memory", "command-list, 21,000 hosts; limit: 24 GiB, assumed", c.at(CommandList, "peak memory of the command", Servers), "MiB", machineMebibytes},
		{"list: elapsed time", "command-list, 21,000 hosts", c.at(CommandList, "elapsed time", Servers), "s", ConvergeSeconds},
	}
}

// keysEstimates returns the estimates for the idempotency store of a sidecar.
func keysEstimates(c *curves) []Estimate {
	keyedPerSecond := callsPerSidecar * keyedFraction
	keys := keyedPerSecond * keyRetentionMinutes * 60
	commits := c.at(Keys, "one key's three commits", keys)
	return []Estimate{
		{"keys held by a sidecar", "assumed: one call in ten has a key, kept 10 minutes", exact(keys), "keys", 0},
		{"file", fmt.Sprintf("keys, %s keys; limit: 64 MiB, the bound assumed", formatNumber(keys)), c.at(Keys, "file bytes of a key", keys).times(keys / bytesPerMebibyte), "MiB", idempotencyStoreBytes / bytesPerMebibyte},
		{"share of the time that the store is busy", "keys, one commit after the other", commits.times(keyedPerSecond / millisecondsPerSecond * 100), "%", 100},
		{"time to open after a start", "keys", c.at(Keys, "time to open", keys), "ms", ConvergeSeconds * millisecondsPerSecond},
	}
}

// returnEstimates returns the estimates for the return of the fleet after a loss of power.
func returnEstimates(c *curves) []Estimate {
	listLength := assumedListLengths().typical
	bytesPerServer := c.at(CompleteList, "bytes of a server on the wire", listLength)
	return []Estimate{
		{"nine tenths of the worth served again, alone", "power-return, 21,000 sidecars", c.at(PowerReturn, "nine tenths of the worth served, alone", Servers), "s", 0},
		{"nine tenths of the worth served again, sharing", "power-return, 21,000 sidecars", c.at(PowerReturn, "nine tenths of the worth served, sharing", Servers), "s", 0},
		{"lists that discovery sends to 21,000 sidecars", "whole-list, 5 services each", bytesPerServer.times(listLength * Servers / 1e9), "GB", 0},
		{"the same, for one of 16 machines, over 16 s", "whole-list", bytesPerServer.times(listLength * Servers / ControlMachines / ConvergeSeconds * 8 / 1e9), "Gbit/s", 0},
	}
}

// budgetEstimates adds up the resources that a sidecar and its agent use for control on a host with
// one sidecar. If a host has more sidecars, they share the agent, and each accounts for a smaller
// part of its use.
func budgetEstimates(c *curves) []Estimate {
	listLength := assumedListLengths().typical
	share := listLength / Servers
	meanChangesPerMinute := float64(ChangesPerDay) / minutesPerDay
	restProcessor := c.at(SidecarList, "processor time at rest", listLength).plus(c.at(Agent, "processor time of the agent", 1))
	processorPerListChange := c.at(ListChange, "processor time", listLength)
	bytesPerListChange := c.at(ListChange, "bytes on the wire", listLength)
	listProcessor := func(changesPerSecond float64) Interval {
		return processorPerListChange.times(changesPerSecond * share / microsecondsPerSecond * 100)
	}
	settingsProcessor := func(changesPerMinute float64) Interval {
		return c.growth(SettingsChange, "processor time of the agent", changesPerMinute).
			plus(c.growth(SettingsChange, "processor time of the sidecar", changesPerMinute))
	}
	meanListChangesPerSecond := RestartsPerDay * listChangesPerRestart / float64(secondsPerDay)
	badMinuteListChangesPerSecond := serversPerZone / 60.0
	memory := c.at(SidecarList, "resident memory", listLength).plus(c.at(SettingsChange, "resident memory of the agent", meanChangesPerMinute))
	commandBytes := c.at(CommandBytes, "sent to a host", Servers).plus(c.at(CommandBytes, "received from a host", Servers))
	return []Estimate{
		{"processor time at rest", "sidecar-list, agent", restProcessor, "% of a core", ControlCorePercent},
		{"processor time, ordinary minute", "and 9 changes of settings that concern it, 5,400 restarts a day", restProcessor.plus(settingsProcessor(meanChangesPerMinute)).plus(listProcessor(meanListChangesPerSecond)), "% of a core", ControlCorePercent},
		{"processor time, bad minute", "and 90 changes of settings, a zone lost", restProcessor.plus(settingsProcessor(badMinuteFactor * meanChangesPerMinute)).plus(listProcessor(badMinuteListChangesPerSecond)), "% of a core", ControlCorePercent},
		{"resident memory of both", "sidecar-list, settings-change", memory, "MiB", controlMebibytes},
		{"bytes, ordinary minute, without settings", "list changes", bytesPerListChange.times(meanListChangesPerSecond * share), "B/s", ControlBytesPerSecond},
		{"the same with membership on", "its ceiling added", bytesPerListChange.times(meanListChangesPerSecond * share).plus(exact(maxMembershipBytesPerSecond)), "B/s", ControlBytesPerSecond},
		{"bytes, bad minute, without settings", "a zone lost", bytesPerListChange.times(badMinuteListChangesPerSecond * share), "B/s", ControlBytesPerSecond},
		{"bytes of 9 changes of settings a minute by commands to all hosts", "command-bytes, 21,000 hosts", commandBytes.times(meanChangesPerMinute / 60), "B/s", ControlBytesPerSecond},
	}
}
