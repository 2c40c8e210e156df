package api

import "fmt"

// Reactions to more failures than MaxFailures.
const (
	OnFailureStop          = "stop"           // change no more instances
	OnFailureRollback      = "rollback"       // and roll back every changed instance
	OnFailureRollbackStage = "rollback-stage" // and roll back the instances of the current stage
	OnFailurePause         = "pause"          // change no more instances and leave the operation open, to be resumed
)

// Policy limits a rolling change; see package rollout.
type Policy struct {
	Batch          int    `msgpack:"batch" json:"batch"`
	Canaries       int    `msgpack:"canaries" json:"canaries"`
	MaxUnavailable int    `msgpack:"max_unavailable" json:"max_unavailable"`
	MaxFailures    int    `msgpack:"max_failures" json:"max_failures"`
	OnFailure      string `msgpack:"on_failure" json:"on_failure"`
	// MaxHost, MaxZone and MaxShop limit the unavailable instances of one host, zone or shop. 0: no
	// limit besides MaxUnavailable.
	MaxHost int `msgpack:"max_host,omitempty" json:"max_host,omitempty"`
	MaxZone int `msgpack:"max_zone,omitempty" json:"max_zone,omitempty"`
	MaxShop int `msgpack:"max_shop,omitempty" json:"max_shop,omitempty"`
}

// Check returns the first error of a policy for n targets.
func (p *Policy) Check(n int) error {
	switch {
	case n == 0:
		return fmt.Errorf("no instance is selected")
	case p.Batch < 1:
		return fmt.Errorf("batch is %d; it must be 1 at least", p.Batch)
	case p.MaxUnavailable < 1:
		return fmt.Errorf("max-unavailable is %d; with less than 1 nothing can be changed", p.MaxUnavailable)
	case p.MaxFailures < 0:
		return fmt.Errorf("max-failures is %d; it must be 0 or more", p.MaxFailures)
	case p.Canaries < 0:
		return fmt.Errorf("canaries is %d; it must be 0 or more", p.Canaries)
	case p.OnFailure != OnFailureStop && p.OnFailure != OnFailureRollback && p.OnFailure != OnFailureRollbackStage && p.OnFailure != OnFailurePause:
		return fmt.Errorf("on-failure is %q; it must be %s, %s, %s or %s", p.OnFailure, OnFailureStop, OnFailureRollback, OnFailureRollbackStage, OnFailurePause)
	case p.MaxHost < 0 || p.MaxZone < 0 || p.MaxShop < 0:
		return fmt.Errorf("max-host, max-zone and max-shop must be 0 (no limit) or more")
	}
	return nil
}
