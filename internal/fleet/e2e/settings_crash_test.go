package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// crashingSidecar is a sidecar that ends when it is told to read a configuration with a memory
// limit of crashingLimit.
const (
	crashingLimit   = 77
	crashingSidecar = `#!/bin/sh
%[1]q &
pid=$!
trap 'if grep -q "\"memory_mb\": %[2]d" "$BALANCER_CONFIG"; then kill -KILL $pid; exit 3; fi; kill -HUP $pid' HUP
trap 'kill -TERM $pid; wait $pid; exit 0' TERM
while kill -0 $pid 2>/dev/null; do wait $pid; done
`
)

// Settings that end the process which takes them are refused after the second time: the
// processes started since run with the last accepted ones, and a later revision gets through.
func TestSettingsThatCrashAreRefused(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 1, hosts: 2, each: 1})
	h := w.hosts[1]
	text, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	program := w.script("crashing", fmt.Sprintf(crashingSidecar, filepath.Join(w.bin, "sidecar"), crashingLimit))
	changed := strings.Replace(string(text), fmt.Sprintf("binary = %q", filepath.Join(w.bin, "sidecar")), fmt.Sprintf("binary = %q", program), 1)
	if changed == string(text) {
		t.Fatal("the configuration names no program to replace")
	}
	if err := os.WriteFile(h.config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	w.startRelays()
	w.startAll()
	w.inForce(w.publish("limits/all", memoryLimit(96)), 2)
	good := w.bodyLimit(h.insts[0])

	crashing := w.publish("limits/crash", memoryLimit(crashingLimit), "--scope", "host="+h.name)
	w.refusedBy(crashing, h)
	w.ready()
	w.limits(good, h.insts)
	if refusals := w.inspect(h, h.insts[0]).Settings.Refused; len(refusals) != 1 || !strings.Contains(refusals[0].Reason, "its process ended") {
		t.Errorf("refusals %+v", refusals)
	}
	launches := w.inspect(h, h.insts[0]).Instance.Restarts
	if launches != crashesWanted {
		t.Errorf("%d restarts; the crashing settings were to be tried %d times", launches, crashesWanted)
	}

	w.inForce(w.publish("limits/crash", memoryLimit(80), "--scope", "host="+h.name), 2)
}

// crashesWanted is how many processes may end by the same settings.
const crashesWanted = 2
