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

// crashingLimit is the memory limit in MB at which crashingSidecar ends.
const crashingLimit = 77

// crashingEnv is the environment variable that makes this test's program run crashingSidecar, with
// the path of the sidecar's program. A shell script could run the sidecar instead, but may miss a
// signal while it waits.
const crashingEnv = "E2E_CRASHING_SIDECAR"

// crashingSidecar runs a sidecar and forwards signals to it. A SIGHUP that would apply a
// configuration with crashingLimit is not forwarded but ends both processes.
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
				return errors.Join(errors.New("the sidecar crashes with this configuration"), err)
			}
			sidecar.Process.Signal(got)
		}
	}
}

// Settings that crash the process which applies them are rejected after the second crash: later
// processes run with the last accepted settings, and a later revision is applied.
func TestCrashingSettingsAreRejected(t *testing.T) {
	t.Parallel()
	w := configureSettings(t, settingsLayout{relays: 1, hosts: 2, sidecarsPerHost: 1})
	h := w.hosts[1]
	text, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	program := w.writeScript("crashing", fmt.Sprintf("#!/bin/sh\n%s=%q exec %q\n", crashingEnv, filepath.Join(w.binaries, "sidecar"), os.Args[0]))
	changed := strings.Replace(string(text), fmt.Sprintf("binary = %q", filepath.Join(w.binaries, "sidecar")), fmt.Sprintf("binary = %q", program), 1)
	if changed == string(text) {
		t.Fatal("the agent's configuration does not contain the path of the sidecar")
	}
	if err := os.WriteFile(h.config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	w.startRelays()
	w.startAll()
	w.waitInForce(w.publish("limits/all", memoryLimit(96)), 2)
	lastGood := w.bodyLimit(h.instances[0])

	crashing := w.publish("limits/crash", memoryLimit(crashingLimit), "--scope", "host="+h.name)
	w.waitRejected(crashing, h)
	w.waitReady()
	w.waitBodyLimit(lastGood, h.instances)
	if rejections := w.inspect(h, h.instances[0]).Settings.Rejections; len(rejections) != 1 || !strings.Contains(rejections[0].Reason, "its process ended") {
		t.Errorf("rejections = %+v, want 1 with a reason that contains \"its process ended\"", rejections)
	}
	restarts := w.inspect(h, h.instances[0]).Instance.Restarts
	if restarts != crashesWanted {
		t.Errorf("%s was restarted %d times, want %d: once for each try of the crashing settings", h.instances[0], restarts, crashesWanted)
	}

	w.waitInForce(w.publish("limits/crash", memoryLimit(80), "--scope", "host="+h.name), 2)
}

// crashesWanted is the number of crashes after which settings are rejected.
const crashesWanted = 2
