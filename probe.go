package martendrum

import "time"

const (
	// Where servers report their load only when probed, an arrival sends probesPerRequest
	// probes if they cost at most maxProbeCost points, and waits for the answers for
	// probeWaitFraction of its latency objective. Without them it would be sent by the load
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

// probeBeforeSend probes servers and sends the request when the wait for them is over.
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

// ProbeAnswered takes the load report that answers a probe.
func (b *Balancer) ProbeAnswered(now time.Duration, server string, report LoadReport) {
	if s := b.endpoints.byName[server]; s != nil {
		s.updateLoad(report, now)
	}
}
