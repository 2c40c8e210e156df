package main

import (
	"errors"
	"testing"
)

// TestCoordinationFeatures checks that an unknown feature in MARTENDRUM_FLEET, a missing list of
// peers, and a checkpoint without the feature that uses it are errors with advice.
func TestCoordinationFeatures(t *testing.T) {
	f := newFixture(t, 256)
	for features, checkpointPath := range map[string]string{"retrun": "", "peers": "", "return, breakers": "", "": "somewhere"} {
		_, err := loadConfig(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": f.configPath, "MARTENDRUM_FLEET": features, "MARTENDRUM_CHECKPOINT": checkpointPath}[name]
		})
		if e, ok := errors.AsType[*CoordinationError](err); !ok || e.Advice() == "" {
			t.Errorf("MARTENDRUM_FLEET=%q, MARTENDRUM_CHECKPOINT=%q: got error %v, want a *CoordinationError with advice", features, checkpointPath, err)
		}
	}
}
