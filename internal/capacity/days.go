package capacity

// event is an event in the fleet on an ordinary or a bad day.
type event struct {
	name     string
	servers  float64 // that are concerned
	changes  float64 // of the list, for each of them
	lists    float64 // complete lists that a sidecar receives
	lasts    float64 // seconds
	unheard  float64 // seconds for which commands don't reach those concerned
	spreadBy string  // metric of MembershipChange for how soon it is known; "all": all start; "": none
}

// allStart marks an event after which no member knows another one.
const allStart = "all"

var events = []event{
	{name: "ordinary day: 5,400 restarts", servers: RestartsPerDay, changes: listChanges, lasts: secondsPerDay, spreadBy: "one restart"},
	{name: "a rack lost, and back", servers: rackServers, changes: listChanges, lasts: ConvergeSeconds},
	{name: "a zone lost, and back", servers: zoneServers, changes: listChanges, lasts: ConvergeSeconds, spreadBy: "a zone (one in 27) lost"},
	{name: "a region cut off for an hour: seen from the others", servers: Servers / Regions, changes: listChanges, lasts: ConvergeSeconds},
	{name: "the same, seen from within, when it is back", servers: Servers / Regions, lists: 1, lasts: ConvergeSeconds, unheard: 3600},
	{name: "all 21,000 start together", servers: Servers, lists: 1, lasts: ConvergeSeconds, spreadBy: allStart},
}

// daysTable computes what each event costs a sidecar that calls 5 services.
func daysTable(c *curves) string {
	var table markdown
	table.head("event", "servers", "changes of its list", "bytes of its list", "B/s, over", "processor time of its list", "% of a core, over",
		"a membership of all knows after", "changes of settings that no command brings")
	length := assumedLists().usual
	for _, event := range events {
		changes := event.servers * event.changes * length / Servers
		bytes := changes*c.at(ListChange, "bytes on the wire", length).Value +
			event.lists*length*c.at(CompleteList, "bytes of a server on the wire", length).Value
		processor := changes*c.at(ListChange, "processor time", length).Value/microseconds +
			event.lists*c.at(CompleteList, "processor time", length).Value/milliseconds
		over := " (" + formatNumber(event.lasts) + " s)"
		table.addLine(event.name, formatCount(event.servers), formatNumber(changes), formatNumber(bytes), formatNumber(bytes/event.lasts)+over,
			formatNumber(processor*milliseconds)+" ms", formatNumber(100*processor/event.lasts)+over,
			event.known(c), formatCount(event.unheard*ChangesPerDay/secondsPerDay))
	}
	return table.text.String()
}

// known returns how long it takes until nine in ten members know of the event.
func (e event) known(c *curves) string {
	switch e.spreadBy {
	case "":
		return "not measured"
	case allStart:
		return formatNumber(c.at(Membership, "time to converge", Servers).Value) + " s"
	default:
		return formatNumber(c.at(MembershipChange, e.spreadBy, Servers).Value) + " s"
	}
}
