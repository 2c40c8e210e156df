package martendrum

import "time"

const (
	// Where servers report their load only when probed, an arrival sends probesPerRequest
	// probes if they cost at most maxProbeCost points, and waits for the answers for
	// probeWaitFraction of its latency objective. Without them it would be sent on the load
	// reports of the arrival before.
	probesPerRequest  = 3
	maxProbeCost      = 0.01
	probeWaitFraction = 0.04
)

// LoadReport is a server's load report: the values it carried.
type LoadReport struct {
	HasInFlight, HasUtilization bool
	InFlight                    float64 // requests in flight at the server
	Utilization                 float64 // fraction of the server's capacity in use
}

// ProbeAnswered takes the load report that answers a probe.
func (b *Balancer) ProbeAnswered(now time.Duration, server string, report LoadReport) {
	if s := b.endpoints.byName[server]; s != nil {
		s.updateLoad(report, now)
	}
}
