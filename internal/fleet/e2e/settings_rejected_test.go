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

// waitRejected waits until all instances of a host have rejected a revision and the writer knows
// of it.
func (w *settingsWorld) waitRejected(revision distribution.Revision, h *host) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("a refusal of revision %v by all of %s", revision, h.name), func() bool {
		for _, instance := range h.instances {
			if !slices.ContainsFunc(w.inspect(h, instance).Settings.Rejections, func(r distribution.Rejection) bool { return r.Revision == revision }) {
				return false
			}
		}
		out, ok := w.status(w.writer(), revision)
		return ok && out.Status.Rejected == 1
	})
}

// file is the configuration that the agent wrote for an instance.
func (h *host) file(instance string) string {
	h.world.t.Helper()
	text, err := os.ReadFile(filepath.Join(filepath.Dir(h.config), "s", "instances", instance+".json"))
	if err != nil {
		h.world.t.Fatal(err)
	}
	return string(text)
}

// Settings that a sidecar rejects replace the last accepted ones neither in the process nor in its
// file, block no other resource, and are reported with the sidecar's own reason.
func TestRejectedRevisionKeepsLastGood(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 2, 2)
	h := w.hosts[1]
	all := instances(w.hosts...)
	limits := w.reference(2, "limits/all", 80, 112, 96)
	narrow, wider, good := limits[0], limits[1], limits[2]

	refused := w.publish("limits/all", memoryLimit(1), "--scope", "host="+h.name)
	w.waitRejected(refused, h)
	// The resource now has the scope of one host, so at the other host it is removed.
	w.limits(good, h.instances)
	for _, instance := range h.instances {
		if rejected, _ := w.metric(instance, "edge_balancer_config_rejected"); rejected != 1 {
			t.Errorf("%s rejected %v configurations, want 1", instance, rejected)
		}
		if file := h.file(instance); !strings.Contains(file, `"memory_mb": 96`) {
			t.Errorf("the file of %s does not hold the last accepted settings: %s", instance, file)
		}
		refusals := w.inspect(h, instance).Settings.Rejections
		if len(refusals) != 1 || refusals[0].Revision != refused || !strings.Contains(refusals[0].Reason, memoryRejection) {
			t.Errorf("%s reports the rejections %+v", instance, refusals)
		}
	}
	out, errs, code := w.command("list", "--settings", "--revision", refused.String())
	if code != 1 || !strings.Contains(out, h.name) || !strings.Contains(out, memoryRejection) || strings.Contains(out, w.hosts[0].name) {
		t.Errorf("list --settings: exit %d\n%s%s", code, out, errs)
	}

	// Another resource is still applied.
	w.publish("limits/other", memoryLimit(80))
	w.limits(narrow, all)

	// A later revision of the rejected resource replaces it.
	w.inForce(w.publish("limits/all", memoryLimit(112), "--scope", "host="+h.name), 2)
	w.limits(wider, h.instances) // the resource with the narrower scope is merged last
	w.limits(narrow, w.hosts[0].instances)
	if out, errs, code := w.command("list", "--settings"); code != 0 {
		t.Errorf("list --settings: exit %d\n%s%s", code, out, errs)
	}
}

// Of a rejected and a valid change that arrive between two attempts, the valid one is applied, and
// a process started later has it too.
func TestRejectedRevisionDoesNotBlockOthers(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := newSettingsWorld(t, 2, 1, 2)
	h := w.hosts[0]
	limits := w.reference(1, "limits/all", 80, 96)
	narrow := limits[0]

	// While an operation holds the instances, nothing is applied: both changes arrive together
	// after it.
	operation, token := w.openOperation(h, api.ActRestart, 0)
	bad := w.publish("limits/bad", memoryLimit(2), "--scope", "service=even")
	good := w.publish("limits/all", memoryLimit(80))
	w.received(good, h)
	w.closeOperation(h, operation, token)
	w.limits(narrow, h.instances)
	w.waitRejected(bad, h)
	w.killSidecar(h, h.instances[0])
	w.limits(narrow, h.instances)
	w.waitRejected(bad, h)
	if _, errs, code := w.command("change", "publish", "limits/bad", "--remove"); code != 0 {
		t.Fatalf("exit %d: %s", code, errs)
	}
	w.inForce(distribution.Revision{}, 1)
	w.limits(narrow, h.instances)
}
