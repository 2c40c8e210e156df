package upstream

import (
	"strconv"
	"strings"

	"martendrum"
)

// maxLoad is the highest valid load value, above the load of any real server.
const maxLoad = 1e6

// ParseLoad parses a load report of comma-separated name=value pairs. It ignores values that are
// not valid loads, in particular NaN, which would make every comparison false, and unknown names.
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
