package api

import "fmt"

// What is done after too many failures.
const (
	OnFailureStop          = "stop"           // nothing new is changed
	OnFailureRollback      = "rollback"       // and every changed instance is rolled back
	OnFailureRollbackStage = "rollback-stage" // only the instances of the current stage are rolled back
	OnFailurePause         = "pause"          // nothing new, and the operation stays open to be resumed
)

// Policy is how a rolling change goes about its instances; see package rollout.
type Policy struct {
	Batch          int    `msgpack:"batch" json:"batch"`
	Canaries       int    `msgpack:"canaries" json:"canaries"`
	MaxUnavailable int    `msgpack:"max_unavailable" json:"max_unavailable"`
	MaxFailures    int    `msgpack:"max_failures" json:"max_failures"`
	OnFailure      string `msgpack:"on_failure" json:"on_failure"`
	// So many of one host, zone or shop unavailable at most; 0: no limit of its own.
	MaxHost int `msgpack:"max_host,omitempty" json:"max_host,omitempty"`
	MaxZone int `msgpack:"max_zone,omitempty" json:"max_zone,omitempty"`
	MaxShop int `msgpack:"max_shop,omitempty" json:"max_shop,omitempty"`
}

// Check says what is wrong with a policy for n targets.
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
