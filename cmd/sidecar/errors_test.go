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

// Each error that an operator may meet around a return from a power loss says what to do,
// and is on the operators' page.
func TestErrorsHaveAdvice(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/power-loss.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, e := range map[string]interface{ Advice() string }{
		"FleetError":      &CoordinationError{Do: "x"},
		"ConfigError":     &peers.ConfigError{Field: "x"},
		"AddrError":       &link.AddrError{Field: "x"},
		"DecodeError":     &peers.DecodeError{},
		"NotTrustedError": &checkpoint.NotTrustedError{},
		"SilentError":     &discovery.SilentError{},
		"LostError":       &lease.LostError{},
		"ReturningError":  &api.ReturningError{},
	} {
		if e.Advice() == "" {
			t.Errorf("%s has no advice", name)
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not on the operators' page", name)
		}
	}
}
