package main

import (
	"errors"
	"testing"
)

// An unknown feature of MARTENDRUM_FLEET and an invalid list of peers are reported with advice.
func TestCoordinationFeatures(t *testing.T) {
	f := newFixture(t, 256)
	for words, keep := range map[string]string{"retrun": "", "peers": "", "return, breakers": "", "": "somewhere"} {
		_, err := loadConfig(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": f.configPath, "MARTENDRUM_FLEET": words, "MARTENDRUM_CHECKPOINT": keep}[name]
		})
		if e, ok := errors.AsType[*CoordinationError](err); !ok || e.Advice() == "" {
			t.Errorf("%q: %v", words, err)
		}
	}
}
