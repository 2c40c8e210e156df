package upstream

import (
	"strconv"
	"strings"

	"martendrum"
)

// maxLoad is more than the load of any server.
const maxLoad = 1e6

// ParseLoad reads a load report: name=value, separated by commas. A value that is no
// load is ignored: one that is not a number would spoil every comparison.
func ParseLoad(text string) (report martendrum.LoadReport) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		load, err := strconv.ParseFloat(value, 64)
		if err != nil || !(load >= 0 && load <= maxLoad) {
			continue
		}
		switch name {
		case "inflight", "busy_reqs":
			report.InFlight, report.HasInFlight = load, true
		case "util", "cpu_share":
			report.Utilization, report.HasUtilization = load, true
		}
	}
	return report
}
