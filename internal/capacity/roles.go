package capacity

import "fmt"

// Estimate is a figure at the required size.
type Estimate struct {
	Quantity string
	From     string // how it is worked out
	Value    Interval
	Unit     string
	Limit    float64 // in the same unit; 0: none is set
}

// needed returns the figure as a multiple of its limit.
func (e Estimate) needed() float64 { return e.Value.Value / e.Limit }

// exactly returns a value without an interval, computed from requirements and assumptions alone.
func exactly(value float64) Interval { return Interval{value, value, value} }

// Role is a part of the system with its estimates.
type Role struct {
	Name      string
	Estimates []Estimate
}

// lists are the lengths of server lists in the page's estimates.
type lists struct {
	usual, many, all float64 // of a sidecar that calls 5 services, 20 services, all
}

func assumedLists() lists {
	sizes := ServiceSizes()
	return lists{usual: listOfServices(sizes, servicesCalled), many: listOfServices(sizes, maxServicesCalled), all: Servers}
}

// roles computes the figures of all roles.
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

func pathEstimates(c *curves) []Estimate {
	usual := assumedLists().usual
	return []Estimate{
		{"99th percentile that seven sidecars add to a call", "chain, 30 servers", c.at(Chain, "difference of the 99th percentiles", 30), "ms", AddedMilliseconds},
		{"the same", "chain, 300 servers", c.at(Chain, "difference of the 99th percentiles", 300), "ms", AddedMilliseconds},
		{"the same", "chain, 3,000 servers", c.at(Chain, "difference of the 99th percentiles", 3000), "ms", AddedMilliseconds},
		{"the same", fmt.Sprintf("chain, %s servers", formatNumber(usual)), c.at(Chain, "difference of the 99th percentiles", usual), "ms", AddedMilliseconds},
		{"99th percentile that one sidecar adds", "call-rate, 62 calls a second", c.at(CallRate, "difference of the 99th percentiles", callsPerSidecar), "ms", AddedMilliseconds},
		{"calls that reach the last of seven, for each made", "chain, 300 servers", c.at(Chain, "calls that reach the last server, for each made", 300), "calls", 0},
		{"processor time of one sidecar", "call-rate, 62 calls a second", c.at(CallRate, "processor time", callsPerSidecar), "% of a core", 0},
		{"resident memory of one sidecar", fmt.Sprintf("chain, %s servers", formatNumber(usual)), c.at(Chain, "resident memory of a sidecar", usual), "MiB", controlMebibyte},
		{"processor time of all decisions about a call", "decision, 21,000 servers", c.at(Decision, "processor time", Servers), "us", 0},
	}
}

func serverListEstimates(c *curves) []Estimate {
	length := assumedLists()
	var estimates []Estimate
	for _, list := range []struct {
		name   string
		length float64
	}{
		{fmt.Sprintf("5 services: %s servers", formatNumber(length.usual)), length.usual},
		{fmt.Sprintf("20 services: %s servers", formatNumber(length.many)), length.many},
		{"all 21,000 servers", length.all},
	} {
		estimates = append(estimates, listEstimates(c, list.name, list.length)...)
	}
	return append(estimates,
		Estimate{"services that one sidecar calls", "assumed: 5; a sidecar follows one list, of one service", exactly(servicesCalled), "services", 1},
		Estimate{"messages at rest", "an empty line at least each 2 s, on which the watch relies in the code", exactly(0.5), "lines/s", 0},
		Estimate{"time until a change is known", "the bound of discovery's watch, in the code", exactly(6), "s", ConvergeSeconds})
}

// listEstimates returns the figures for one length of the list.
func listEstimates(c *curves, name string, length float64) []Estimate {
	share := length / Servers
	perServer := c.at(CompleteList, "bytes of a server on the wire", length)
	perChange := c.at(ListChange, "bytes on the wire", length).Value
	changeMicroseconds := c.at(ListChange, "processor time", length)
	ordinaryChanges := RestartsPerDay * listChanges * share / secondsPerDay
	zoneChanges := zoneServers * share / ConvergeSeconds
	return []Estimate{
		{name + ": heap", "whole-list", c.at(CompleteList, "heap of a server", length).times(length / mebibyte), "MiB", controlMebibyte},
		{name + ": bytes, ordinary day", "5,400 restarts, 3 changes each", exactly(ordinaryChanges * perChange), "B/s", ControlBytesPerSecond},
		{name + ": bytes, a zone lost, over 16 s", "778 changes at once", exactly(zoneChanges * perChange), "B/s", ControlBytesPerSecond},
		{name + ": bytes, whole list at a start, over 16 s", "whole-list", perServer.times(length / ConvergeSeconds), "B/s", ControlBytesPerSecond},
		{name + ": processor time, ordinary day", "list-change", changeMicroseconds.times(ordinaryChanges / microseconds * 100), "% of a core", ControlCorePercent},
		{name + ": processor time, a zone lost, over 16 s", "list-change", changeMicroseconds.times(zoneChanges / microseconds * 100), "% of a core", ControlCorePercent},
		{name + ": processor time, whole list at a start, over 16 s", "whole-list", c.at(CompleteList, "processor time", length).times(100 / milliseconds / ConvergeSeconds), "% of a core", ControlCorePercent},
	}
}

func connectionEstimates(c *curves) []Estimate {
	usual := assumedLists().usual
	return []Estimate{
		{"descriptors of a sidecar with 300 servers on its list", "call-rate, 62 calls a second", c.at(CallRate, "descriptors", callsPerSidecar), "descriptors", ProcessDescriptors},
		{"descriptors of a sidecar by its list", fmt.Sprintf("chain, %s servers", formatNumber(usual)), c.at(Chain, "descriptors of a sidecar", usual), "descriptors", ProcessDescriptors},
	}
}

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
		{"bytes sent by a sidecar", "the ceiling in the code; membership", exactly(membershipCeiling), "B/s", ControlBytesPerSecond},
		{"heap of a node that knows nobody yet", "membership-memory, 21,000 members", c.at(MembershipMemory, "heap of a node", Servers).times(1.0 / mebibyte), "MiB", controlMebibyte},
		{"processor time", "membership, 21,000 members", c.at(Membership, "processor time a second and sidecar", Servers).times(100 / microseconds), "% of a core", ControlCorePercent},
	}
}

// membershipCeiling is the rate of internal/peers' default configuration, in bytes a second.
const membershipCeiling = 600

// Objectives of the settings' distribution that are stricter than the requirements.
const (
	maxHostsSeconds   = 5   // a change is in force at 999 hosts in 1,000
	restBytesASecond  = 300 // of a subscriber
	subscribersOfHalf = Servers / (ControlMachines / 2)
)

func distributionEstimates(c *curves) []Estimate {
	at := func(metric string) Interval { return c.at(Distribution, metric, Servers) }
	rest := at("received by a subscriber at rest").plus(at("sent by a subscriber at rest"))
	return []Estimate{
		{"a change that concerns all, at 999 hosts in 1,000", "distribution", at("change for all, 999 in 1,000"), "s", maxHostsSeconds},
		{"the same, at all", "distribution", at("change for all, all"), "s", ConvergeSeconds},
		{"the same, and the writer knows", "distribution", at("change for all, known at the writer"), "s", ConvergeSeconds},
		{"a change that concerns one service, at all of it", "distribution", at("change for one service, all"), "s", ConvergeSeconds},
		{"ten times an ordinary day's rate, the slowest change, at all", "distribution", at("ten times the rate, worst, all"), "s", ConvergeSeconds},
		{"two of 16 relays killed, the slowest change, at all", "distribution", at("two relays killed, worst, all"), "s", ConvergeSeconds},
		{"a ninth cut off for 10 s: all changes, after its return", "distribution", at("a ninth back after a cut, all"), "s", ConvergeSeconds},
		{"all start at once, both ends on one machine of 8 cores", "distribution", at("all start at once, all"), "s", ConvergeSeconds},
		{"the same after a loss of power", "distribution", at("after a loss of power, all"), "s", ConvergeSeconds},
		{"bytes of a subscriber at rest, both ways", "distribution", rest, "B/s", restBytesASecond},
		{"bytes that a subscriber receives at ten times the rate", "distribution", at("received by a subscriber at ten times the rate"), "B/s", ControlBytesPerSecond},
		{"processor time of a subscriber at ten times the rate", "distribution", at("processor time of a subscriber at ten times the rate"), "% of a core", ControlCorePercent},
		{"memory of a subscriber, its part of a process", "distribution", at("memory of a subscriber"), "MiB", controlMebibyte},
		{"processor time of the busiest of 16 relays at ten times the rate", "distribution", at("processor time of the busiest relay at ten times the rate"), "% of a core", 100},
		{"memory of the largest of 16 relays", "distribution", at("memory of the largest relay at ten times the rate"), "MiB", float64(controlMachineGigabytes << 10)},
		{"descriptors of the fullest of 16 relays", "distribution", at("descriptors of the fullest relay"), "descriptors", ProcessDescriptors},
		{"subscribers of a relay, half of the relays gone, mean", "21,000 divided", exactly(subscribersOfHalf), "subscribers", 0},
	}
}

func settingsEstimates(c *curves) []Estimate {
	elapsed := c.at(CommandReload, "elapsed time", Servers)
	bytes := c.at(CommandBytes, "sent to a host", Servers).plus(c.at(CommandBytes, "received from a host", Servers))
	return []Estimate{
		{"one change, one command to all hosts", "command-reload, 21,000 hosts", elapsed, "s", ConvergeSeconds},
		{"changes one after the other: time of each", "command-reload, 21,000 hosts; 13,000 a day", elapsed, "s", secondsPerDay / float64(ChangesPerDay)},
		{"bytes to and from each host, over 16 s", "command-bytes, 21,000 hosts", bytes.times(1 / ConvergeSeconds), "B/s", ControlBytesPerSecond},
	}
}

func agentEstimates(c *curves) []Estimate {
	var estimates []Estimate
	for _, sidecars := range []float64{1, typicalSidecars, maxSidecars} {
		estimates = append(estimates, Estimate{
			fmt.Sprintf("at rest, sidecars on the host: %.0f: processor time", sidecars), "agent",
			c.at(Agent, "processor time of the agent", sidecars), "% of a core", ControlCorePercent * sidecars,
		}, Estimate{
			fmt.Sprintf("at rest, sidecars on the host: %.0f: resident memory", sidecars), "agent",
			c.at(Agent, "resident memory of the agent", sidecars), "MiB", controlMebibyte * sidecars,
		})
	}
	ordinary := float64(ChangesPerDay) / minutesPerDay
	return append(estimates,
		Estimate{"one sidecar, 9 changes of settings a minute: processor time", "settings-change", c.at(SettingsChange, "processor time of the agent", ordinary), "% of a core", ControlCorePercent},
		Estimate{"one sidecar, 90 changes a minute: processor time", "settings-change", c.at(SettingsChange, "processor time of the agent", overloadFactor*ordinary), "% of a core", ControlCorePercent},
		Estimate{"one sidecar, 9 changes a minute: resident memory", "settings-change", c.at(SettingsChange, "resident memory of the agent", ordinary), "MiB", controlMebibyte},
		Estimate{"messages to each sidecar, on the host itself", "intervals in the code: health 1 s, metrics 10 s", exactly(1.1), "calls/s", 0},
		Estimate{"10 sidecars: descriptors", "agent", c.at(Agent, "descriptors of the agent", maxSidecars), "descriptors", ProcessDescriptors})
}

func directorEstimates(c *curves) []Estimate {
	machine := float64(controlMachineGigabytes << 10)
	return []Estimate{
		{"reload: descriptors", "command-reload, 21,000 hosts", c.at(CommandReload, "descriptors of the command", Servers), "descriptors", ProcessDescriptors},
		{"reload: peak memory", "command-reload, 21,000 hosts; limit: 24 GiB, assumed", c.at(CommandReload, "peak memory of the command", Servers), "MiB", machine},
		{"reload: processor time", "command-reload, 21,000 hosts", c.at(CommandReload, "processor time of the command", Servers), "s", 0},
		{"reload: elapsed time", "command-reload, 21,000 hosts", c.at(CommandReload, "elapsed time", Servers), "s", ConvergeSeconds},
		{"list: descriptors", "command-list, 21,000 hosts", c.at(CommandList, "descriptors of the command", Servers), "descriptors", ProcessDescriptors},
		{"list: peak memory", "command-list, 21,000 hosts; limit: 24 GiB, assumed", c.at(CommandList, "peak memory of the command", Servers), "MiB", machine},
		{"list: elapsed time", "command-list, 21,000 hosts", c.at(CommandList, "elapsed time", Servers), "s", ConvergeSeconds},
	}
}

func keysEstimates(c *curves) []Estimate {
	keyed := callsPerSidecar * keyedFraction
	keys := keyed * keyMinutes * 60
	commits := c.at(Keys, "one key's three commits", keys)
	return []Estimate{
		{"keys held by a sidecar", "assumed: one call in ten has a key, kept 10 minutes", exactly(keys), "keys", 0},
		{"file", fmt.Sprintf("keys, %s keys; limit: 64 MiB, the bound assumed", formatNumber(keys)), c.at(Keys, "file bytes of a key", keys).times(keys / mebibyte), "MiB", idempotencyStoreBytes / mebibyte},
		{"share of the time that the store is busy", "keys, one commit after the other", commits.times(keyed / milliseconds * 100), "%", 100},
		{"time to open after a start", "keys", c.at(Keys, "time to open", keys), "ms", ConvergeSeconds * milliseconds},
	}
}

func returnEstimates(c *curves) []Estimate {
	usual := assumedLists().usual
	perServer := c.at(CompleteList, "bytes of a server on the wire", usual)
	return []Estimate{
		{"nine tenths of the worth served again, alone", "power-return, 21,000 sidecars", c.at(PowerReturn, "nine tenths of the worth served, alone", Servers), "s", 0},
		{"nine tenths of the worth served again, sharing", "power-return, 21,000 sidecars", c.at(PowerReturn, "nine tenths of the worth served, sharing", Servers), "s", 0},
		{"lists that discovery sends to 21,000 sidecars", "whole-list, 5 services each", perServer.times(usual * Servers / 1e9), "GB", 0},
		{"the same, for one of 16 machines, over 16 s", "whole-list", perServer.times(usual * Servers / ControlMachines / ConvergeSeconds * 8 / 1e9), "Gbit/s", 0},
	}
}

// budgetEstimates adds up what a sidecar and its agent use for control, for a host with one
// sidecar. Hosts with more sidecars share the agent and so use less for each.
func budgetEstimates(c *curves) []Estimate {
	usual := assumedLists().usual
	share := usual / Servers
	ordinary := float64(ChangesPerDay) / minutesPerDay
	rest := c.at(SidecarList, "processor time at rest", usual).plus(c.at(Agent, "processor time of the agent", 1))
	changeProcessor := c.at(ListChange, "processor time", usual)
	changeBytes := c.at(ListChange, "bytes on the wire", usual)
	listShare := func(changesPerSecond float64) Interval {
		return changeProcessor.times(changesPerSecond * share / microseconds * 100)
	}
	settings := func(perMinute float64) Interval {
		return c.growth(SettingsChange, "processor time of the agent", perMinute).
			plus(c.growth(SettingsChange, "processor time of the sidecar", perMinute))
	}
	ordinaryListChanges := RestartsPerDay * listChanges / float64(secondsPerDay)
	badListChanges := zoneServers / 60.0
	memory := c.at(SidecarList, "resident memory", usual).plus(c.at(SettingsChange, "resident memory of the agent", ordinary))
	commandBytes := c.at(CommandBytes, "sent to a host", Servers).plus(c.at(CommandBytes, "received from a host", Servers))
	return []Estimate{
		{"processor time at rest", "sidecar-list, agent", rest, "% of a core", ControlCorePercent},
		{"processor time, ordinary minute", "and 9 changes of settings that concern it, 5,400 restarts a day", rest.plus(settings(ordinary)).plus(listShare(ordinaryListChanges)), "% of a core", ControlCorePercent},
		{"processor time, bad minute", "and 90 changes of settings, a zone lost", rest.plus(settings(overloadFactor * ordinary)).plus(listShare(badListChanges)), "% of a core", ControlCorePercent},
		{"resident memory of both", "sidecar-list, settings-change", memory, "MiB", controlMebibyte},
		{"bytes, ordinary minute, without settings", "list changes", changeBytes.times(ordinaryListChanges * share), "B/s", ControlBytesPerSecond},
		{"the same with membership on", "its ceiling added", changeBytes.times(ordinaryListChanges * share).plus(exactly(membershipCeiling)), "B/s", ControlBytesPerSecond},
		{"bytes, bad minute, without settings", "a zone lost", changeBytes.times(badListChanges * share), "B/s", ControlBytesPerSecond},
		{"bytes of 9 changes of settings a minute by commands to all hosts", "command-bytes, 21,000 hosts", commandBytes.times(ordinary / 60), "B/s", ControlBytesPerSecond},
	}
}
