package capacity

// event is something that changes the state of many servers on an ordinary or a bad day.
type event struct {
	name               string
	servers            float64 // number of servers that the event affects
	changes            float64 // number of server list changes for each affected server
	completeLists      float64 // number of complete server lists that a sidecar receives
	durationSeconds    float64
	unreachableSeconds float64 // how long commands cannot reach the affected servers
	// spreadMetric is the metric of MembershipChange that gives the time until the membership knows
	// of the event. It is allStart if all members start together, and empty if no metric covers the
	// event.
	spreadMetric string
}

// allStart is the spreadMetric of an event in which all members start and none knows another yet.
const allStart = "all"

// events are the rows of the table "days".
var events = []event{
	{name: "ordinary day: 5,400 restarts", servers: RestartsPerDay, changes: listChangesPerRestart, durationSeconds: secondsPerDay, spreadMetric: "one restart"},
	{name: "a rack lost, and back", servers: serversPerRack, changes: listChangesPerRestart, durationSeconds: ConvergeSeconds},
	{name: "a zone lost, and back", servers: serversPerZone, changes: listChangesPerRestart, durationSeconds: ConvergeSeconds, spreadMetric: "a zone (one in 27) lost"},
	{name: "a region cut off for an hour: seen from the others", servers: Servers / Regions, changes: listChangesPerRestart, durationSeconds: ConvergeSeconds},
	{name: "the same, seen from within, when it is back", servers: Servers / Regions, completeLists: 1, durationSeconds: ConvergeSeconds, unreachableSeconds: 3600},
	{name: "all 21,000 start together", servers: Servers, completeLists: 1, durationSeconds: ConvergeSeconds, spreadMetric: allStart},
}

// daysTable returns the table "days": what each event costs a sidecar that calls 5 services.
func daysTable(c *curves) string {
	var table markdown
	table.head("event", "servers", "changes of its list", "bytes of its list", "B/s, over", "processor time of its list", "% of a core, over",
		"a membership of all knows after", "changes of settings that no command brings")
	length := assumedListLengths().typical
	for _, event := range events {
		changes := event.servers * event.changes * length / Servers
		bytes := changes*c.at(ListChange, "bytes on the wire", length).Value +
			event.completeLists*length*c.at(CompleteList, "bytes of a server on the wire", length).Value
		processorSeconds := changes*c.at(ListChange, "processor time", length).Value/microsecondsPerSecond +
			event.completeLists*c.at(CompleteList, "processor time", length).Value/millisecondsPerSecond
		duration := " (" + formatNumber(event.durationSeconds) + " s)"
		table.addLine(event.name, formatCount(event.servers), formatNumber(changes), formatNumber(bytes), formatNumber(bytes/event.durationSeconds)+duration,
			formatNumber(processorSeconds*millisecondsPerSecond)+" ms", formatNumber(100*processorSeconds/event.durationSeconds)+duration,
			event.timeUntilKnown(c), formatCount(event.unreachableSeconds*ChangesPerDay/secondsPerDay))
	}
	return table.text.String()
}

// timeUntilKnown returns, formatted for the table, how long it takes until nine in ten members know
// of the event.
func (e event) timeUntilKnown(c *curves) string {
	switch e.spreadMetric {
	case "":
		return "not measured"
	case allStart:
		return formatNumber(c.at(Membership, "time to converge", Servers).Value) + " s"
	default:
		return formatNumber(c.at(MembershipChange, e.spreadMetric, Servers).Value) + " s"
	}
}
