package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// metric reads one metric from a sidecar's admin endpoint. It returns false if the endpoint does
// not answer or has no such metric.
func (w *settingsWorld) metric(instance, name string) (float64, bool) {
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + w.admin[instance] + "/api/telemetry")
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte(name+" ")); ok {
			value, err := strconv.ParseFloat(strings.TrimSpace(string(rest)), 64)
			return value, err == nil
		}
	}
	return 0, false
}

// bodyLimit returns the limit in bytes on request and response bodies that a sidecar has in force,
// from its metrics, or 0 if it does not answer. The limit follows from limits.memory_mb.
func (w *settingsWorld) bodyLimit(instance string) float64 {
	limit, _ := w.metric(instance, `edge_balancer_body_bytes{of="most"}`)
	return limit
}

// waitInForce waits until the writer, whose counts include all hosts, reports a revision in force
// at exactly the given number of hosts. It returns that report.
func (w *settingsWorld) waitInForce(revision distribution.Revision, hosts int) distribution.Status {
	w.t.Helper()
	var status distribution.Status
	var statusErr error
	defer func() {
		if w.t.Failed() {
			w.t.Logf("last status %+v, error %v", status, statusErr)
		}
	}()
	eventually(w.t, fmt.Sprintf("revision %v to be in force at %d hosts", revision, hosts), func() bool {
		out, err := w.operator.InForce(context.Background(), "", revision, 10)
		if statusErr = err; err != nil {
			return false
		}
		status = out.Status
		return out.Complete && status.InForce == hosts
	})
	return status
}

// waitBodyLimit waits until all named sidecars have the limit on bodies, in bytes, in force.
func (w *settingsWorld) waitBodyLimit(want float64, names []string) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("a body limit of %v bytes at %v", want, names), func() bool {
		for _, name := range names {
			if w.bodyLimit(name) != want {
				return false
			}
		}
		return true
	})
}

// inspect queries the agent of a host about one of its instances.
func (w *settingsWorld) inspect(h *host, instance string) *api.InspectOut {
	w.t.Helper()
	out := &api.InspectOut{}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.Inspect, &api.InstanceIn{Instance: instance}, out); err != nil {
		w.t.Fatalf("inspecting %s: %v", instance, err)
	}
	return out
}

// status queries a relay for the progress of a revision among its own subscribers or, if it is the
// writer, among all hosts. ok is false if the relay does not answer.
func (w *settingsWorld) status(relay *host, revision distribution.Revision) (out api.SettingsStatusOut, ok bool) {
	in := &api.SettingsStatusIn{Revision: revision, Limit: 10}
	err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsStatus, in, &out)
	return out, err == nil
}

// waitCopied waits until the relays hold a revision or a later one.
func (w *settingsWorld) waitCopied(revision distribution.Revision, relays ...*host) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("all relays to hold revision %v", revision), func() bool {
		for _, relay := range relays {
			if out, ok := w.status(relay, revision); !ok || revision.After(out.Status.Latest) {
				return false
			}
		}
		return true
	})
}

// waitReceived waits until the agents of the hosts have received a revision or a later one.
func (w *settingsWorld) waitReceived(revision distribution.Revision, hosts ...*host) {
	w.t.Helper()
	for _, h := range hosts {
		eventually(w.t, fmt.Sprintf("revision %v to arrive at %s", revision, h.name), func() bool {
			return !revision.After(w.inspect(h, h.instances[0]).Settings.Received)
		})
	}
}

// acceptedRevisions returns the revisions of the resources that an instance has accepted, by
// resource name.
func (w *settingsWorld) acceptedRevisions(h *host, instance string) map[string]distribution.Revision {
	w.t.Helper()
	revisions := make(map[string]distribution.Revision)
	for _, accepted := range w.inspect(h, instance).Settings.Accepted {
		revisions[accepted.Name] = accepted.Revision
	}
	return revisions
}
