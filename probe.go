package martendrum

import "time"

const (
	// Where servers report their load only when probed, each request sends probesPerRequest
	// probes on arrival, if these cost at most maxProbeCost points together. It waits for the
	// answers for probeWaitFraction of its latency objective. Without the wait its server would
	// be picked by the load reports that the previous request caused.
	probesPerRequest  = 3
	maxProbeCost      = 0.01
	probeWaitFraction = 0.04
)

// LoadReport is a server's report of its load. The zero value is an empty report.
type LoadReport struct {
	HasInFlight, HasUtilization bool    // which of the two values the report contains
	InFlight                    float64 // requests in flight at the server
	Utilization                 float64 // fraction of the server's capacity in use
}

// probeBeforeSend probes servers of the working set and sets a timer after which the request is
// sent. It waits at most half of the time until the deadline.
func (b *Balancer) probeBeforeSend(request *openRequest, now time.Duration) {
	b.endpoints.refresh(now)
	for range probesPerRequest {
		if s := b.endpoints.draw(); s != nil {
			b.host.Probe(s.name)
		}
	}
	wait := time.Duration(probeWaitFraction * float64(request.class.LatencyObjective))
	b.setRequestTimer(request, min(wait, (request.Deadline-now)/2))
}

// ProbeAnswered records the load report with which a server answered a probe. A report of an unlisted
// server is ignored.
func (b *Balancer) ProbeAnswered(now time.Duration, server string, report LoadReport) {
	if s := b.endpoints.byName[server]; s != nil {
		s.updateLoad(report, now)
	}
}
