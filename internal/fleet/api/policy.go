package api

import "fmt"

// Values of Policy.OnFailure: what happens after more failures than MaxFailures, after the failure of a
// canary, or once the change is judged worse.
const (
	OnFailureStop          = "stop"           // change no more instances
	OnFailureRollback      = "rollback"       // change no more instances and roll back every changed one
	OnFailureRollbackStage = "rollback-stage" // change no more instances and roll back those of the current stage
	OnFailurePause         = "pause"          // change no more instances and leave the operation open, so that it can be resumed
)

// Policy limits a rolling change; see package rollout.
type Policy struct {
	Batch          int    `msgpack:"batch" json:"batch"`                     // instances in a batch
	Canaries       int    `msgpack:"canaries" json:"canaries"`               // instances in the first batch; 0: as in the others
	MaxUnavailable int    `msgpack:"max_unavailable" json:"max_unavailable"` // at a time
	MaxFailures    int    `msgpack:"max_failures" json:"max_failures"`       // number of failed instances up to which the change continues
	OnFailure      string `msgpack:"on_failure" json:"on_failure"`
	// MaxHost, MaxZone and MaxShop limit the unavailable instances of one host, zone or shop. 0 sets no
	// limit besides MaxUnavailable.
	MaxHost int `msgpack:"max_host,omitempty" json:"max_host,omitempty"`
	MaxZone int `msgpack:"max_zone,omitempty" json:"max_zone,omitempty"`
	MaxShop int `msgpack:"max_shop,omitempty" json:"max_shop,omitempty"`
}

// Check returns an error for the first invalid value of a policy for n targets.
func (p *Policy) Check(n int) error {
	switch {
	case n == 0:
		return fmt.Errorf("no instance is selected")
	case p.Batch < 1:
		return fmt.Errorf("batch is %d; it must be at least 1", p.Batch)
	case p.MaxUnavailable < 1:
		return fmt.Errorf("max-unavailable is %d; it must be at least 1, or nothing can be changed", p.MaxUnavailable)
	case p.MaxFailures < 0:
		return fmt.Errorf("max-failures is %d; it must be at least 0", p.MaxFailures)
	case p.Canaries < 0:
		return fmt.Errorf("canaries is %d; it must be at least 0", p.Canaries)
	case p.OnFailure != OnFailureStop && p.OnFailure != OnFailureRollback && p.OnFailure != OnFailureRollbackStage && p.OnFailure != OnFailurePause:
		return fmt.Errorf("on-failure is %q; it must be %s, %s, %s or %s", p.OnFailure, OnFailureStop, OnFailureRollback, OnFailureRollbackStage, OnFailurePause)
	case p.MaxHost < 0 || p.MaxZone < 0 || p.MaxShop < 0:
		return fmt.Errorf("max-host, max-zone and max-shop must be at least 0; 0 sets no limit")
	}
	return nil
}
