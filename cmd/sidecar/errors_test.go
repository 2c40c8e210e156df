package main

import (
	"os"
	"strings"
	"testing"

	"martendrum/internal/checkpoint"
	"martendrum/internal/discovery"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
)

// TestErrorsHaveAdvice checks that each error that an operator may see around the return from a
// power loss has advice and is documented on the page docs/operate/power-loss.md.
func TestErrorsHaveAdvice(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/power-loss.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, e := range map[string]interface{ Advice() string }{
		"FleetError":      &CoordinationError{Remedy: "x"}, // the page calls it FleetError
		"ConfigError":     &peers.ConfigError{Field: "x"},
		"AddrError":       &link.AddrError{Field: "x"},
		"DecodeError":     &peers.DecodeError{},
		"NotTrustedError": &checkpoint.NotTrustedError{},
		"SilentError":     &discovery.SilentError{},
		"LostError":       &lease.LostError{},
		"ReturningError":  &api.ReturningError{},
	} {
		if e.Advice() == "" {
			t.Errorf("%s.Advice() is empty, want a text", name)
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/operate/power-loss.md does not mention %s", name)
		}
	}
}
