package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// memoryRejection is the error of a sidecar's parser for a memory limit below the minimum.
const memoryRejection = "limits.memory_mb must be at least"

// waitRejected waits until all instances of a host have rejected a revision and the writer reports
// one host that has rejected it.
func (w *settingsWorld) waitRejected(revision distribution.Revision, h *host) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("revision %v to be rejected by all instances of %s", revision, h.name), func() bool {
		for _, instance := range h.instances {
			if !slices.ContainsFunc(w.inspect(h, instance).Settings.Rejections, func(r distribution.Rejection) bool { return r.Revision == revision }) {
				return false
			}
		}
		out, ok := w.status(w.writer(), revision)
		return ok && out.Status.Rejected == 1
	})
}

// instanceConfig returns the configuration file that the agent has written for an instance.
func (h *host) instanceConfig(instance string) string {
	h.world.t.Helper()
	text, err := os.ReadFile(filepath.Join(filepath.Dir(h.config), "s", "instances", instance+".json"))
	if err != nil {
		h.world.t.Fatalf("reading the configuration of %s: %v", instance, err)
	}
	return string(text)
}

// If a sidecar rejects settings, the last accepted ones stay in force in its process and in its
// configuration file. The rejection is reported with the sidecar's own reason and blocks no other
// resource.
func TestRejectedRevisionKeepsLastGood(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 2, 2)
	h := w.hosts[1]
	all := instanceNames(w.hosts...)
	limits := w.publishLimits(2, "limits/all", 80, 112, 96)
	limit80, limit112, limit96 := limits[0], limits[1], limits[2]

	rejected := w.publish("limits/all", memoryLimit(1), "--scope", "host="+h.name)
	w.waitRejected(rejected, h)
	// The resource now has the scope of one host, so at the other host it is removed.
	w.waitBodyLimit(limit96, h.instances)
	for _, instance := range h.instances {
		if count, _ := w.metric(instance, "edge_balancer_config_rejected"); count != 1 {
			t.Errorf("%s rejected %v configurations, want 1", instance, count)
		}
		if file := h.instanceConfig(instance); !strings.Contains(file, `"memory_mb": 96`) {
			t.Errorf("configuration file of %s = %s, want the last accepted settings, with \"memory_mb\": 96", instance, file)
		}
		rejections := w.inspect(h, instance).Settings.Rejections
		if len(rejections) != 1 || rejections[0].Revision != rejected || !strings.Contains(rejections[0].Reason, memoryRejection) {
			t.Errorf("%s reports the rejections %+v, want 1 of revision %v with a reason that contains %q", instance, rejections, rejected, memoryRejection)
		}
	}
	out, errs, code := w.command("list", "--settings", "--revision", rejected.String())
	if code != 1 || !strings.Contains(out, h.name) || !strings.Contains(out, memoryRejection) || strings.Contains(out, w.hosts[0].name) {
		t.Errorf("martendrum list --settings of the rejected revision: exit code %d, want 1 and only host %s with %q\n%s%s", code, h.name, memoryRejection, out, errs)
	}

	// Another resource is still applied.
	w.publish("limits/other", memoryLimit(80))
	w.waitBodyLimit(limit80, all)

	// A later revision of the rejected resource replaces it.
	w.waitInForce(w.publish("limits/all", memoryLimit(112), "--scope", "host="+h.name), 2)
	w.waitBodyLimit(limit112, h.instances) // the resource with the narrower scope is merged last
	w.waitBodyLimit(limit80, w.hosts[0].instances)
	if out, errs, code := w.command("list", "--settings"); code != 0 {
		t.Errorf("martendrum list --settings: exit code %d, want 0\n%s%s", code, out, errs)
	}
}

// If an invalid and a valid change arrive before the agent applies the next settings, the valid one
// is applied while the other is rejected. A process that starts later has the valid one too.
func TestRejectedRevisionDoesNotBlockOthers(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := newSettingsWorld(t, 2, 1, 2)
	h := w.hosts[0]
	limits := w.publishLimits(1, "limits/all", 80, 96)
	limit80 := limits[0]

	// While an operation holds the instances' lease no settings are applied, so both changes are
	// applied together after it.
	operation, token := w.openOperation(h, api.ActRestart, 0)
	invalid := w.publish("limits/bad", memoryLimit(2), "--scope", "service=even")
	valid := w.publish("limits/all", memoryLimit(80))
	w.waitReceived(valid, h)
	w.closeOperation(h, operation, token)
	w.waitBodyLimit(limit80, h.instances)
	w.waitRejected(invalid, h)
	w.killSidecar(h, h.instances[0])
	w.waitBodyLimit(limit80, h.instances)
	w.waitRejected(invalid, h)
	if _, errs, code := w.command("change", "publish", "limits/bad", "--remove"); code != 0 {
		t.Fatalf("martendrum change publish limits/bad --remove: exit code %d, want 0\n%s", code, errs)
	}
	w.waitInForce(distribution.Revision{}, 1) // the zero revision stands for the latest
	w.waitBodyLimit(limit80, h.instances)
}
