package martendrum

import "time"

const (
	// Where only probes tell loads, an arrival sends probesPerRequest and waits for them
	// this share of its aim, if they cost maxProbeCost points at most. Guards against
	// sends on word from an arrival ago.
	probesPerRequest  = 3
	maxProbeCost      = 0.01
	probeWaitFraction = 0.04
)

// LoadReport is a server's load report: the fields it carried, by meaning.
type LoadReport struct {
	HasInFlight, HasUtilization bool
	InFlight                    float64
	Utilization                 float64
}

// ProbeAnswered takes the load report that a probe brought.
func (b *Balancer) ProbeAnswered(now time.Duration, server string, report LoadReport) {
	if s := b.endpoints.byName[server]; s != nil {
		s.updateLoad(report, now)
	}
}
