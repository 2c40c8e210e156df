package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// crashingLimit is the memory limit at which crashingSidecar ends.
const crashingLimit = 77

// crashingEnv names the program that crashingSidecar runs, in the environment of this test's
// own program. A shell would do, but one that waits may miss a signal.
const crashingEnv = "E2E_CRASHING_SIDECAR"

// crashingSidecar runs a sidecar and forwards signals to it, except a SIGHUP that would apply
// crashingLimit: that ends both processes.
func crashingSidecar(program string) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM)
	sidecar := exec.Command(program)
	sidecar.Stdout, sidecar.Stderr = os.Stdout, os.Stderr
	if err := sidecar.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- sidecar.Wait() }()
	for {
		select {
		case err := <-ended:
			return err
		case got := <-signals:
			text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
			if got == syscall.SIGHUP && (err != nil || bytes.Contains(text, fmt.Appendf(nil, `"memory_mb": %d`, crashingLimit))) {
				sidecar.Process.Kill()
				return errors.Join(errors.New("ended by its configuration"), err)
			}
			sidecar.Process.Signal(got)
		}
	}
}

// Settings that crash the process which applies them are rejected after the second crash: later
// processes run with the last accepted settings, and a later revision is applied.
func TestCrashingSettingsAreRejected(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 1, hosts: 2, sidecarsPerHost: 1})
	h := w.hosts[1]
	text, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	program := w.script("crashing", fmt.Sprintf("#!/bin/sh\n%s=%q exec %q\n", crashingEnv, filepath.Join(w.binaries, "sidecar"), os.Args[0]))
	changed := strings.Replace(string(text), fmt.Sprintf("binary = %q", filepath.Join(w.binaries, "sidecar")), fmt.Sprintf("binary = %q", program), 1)
	if changed == string(text) {
		t.Fatal("the configuration names no program to replace")
	}
	if err := os.WriteFile(h.config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	w.startRelays()
	w.startAll()
	w.inForce(w.publish("limits/all", memoryLimit(96)), 2)
	good := w.bodyLimit(h.instances[0])

	crashing := w.publish("limits/crash", memoryLimit(crashingLimit), "--scope", "host="+h.name)
	w.waitRejected(crashing, h)
	w.waitReady()
	w.limits(good, h.instances)
	if refusals := w.inspect(h, h.instances[0]).Settings.Rejections; len(refusals) != 1 || !strings.Contains(refusals[0].Reason, "its process ended") {
		t.Errorf("rejections %+v", refusals)
	}
	launches := w.inspect(h, h.instances[0]).Instance.Restarts
	if launches != crashesWanted {
		t.Errorf("%d restarts; the crashing settings were to be tried %d times", launches, crashesWanted)
	}

	w.inForce(w.publish("limits/crash", memoryLimit(80), "--scope", "host="+h.name), 2)
}

// crashesWanted is how many processes the same settings may crash before they are rejected.
const crashesWanted = 2
