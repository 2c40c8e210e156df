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

// metric reads one metric from a sidecar's admin endpoint; false if it does not answer.
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

// bodyLimit returns the limit on bodies that a sidecar has in force, from its metrics. It follows
// from limits.memory_mb.
func (w *settingsWorld) bodyLimit(instance string) float64 {
	limit, _ := w.metric(instance, `edge_balancer_body_bytes{of="most"}`)
	return limit
}

// inForce waits until the writer reports a revision in force at a number of hosts.
func (w *settingsWorld) inForce(revision distribution.Revision, hosts int) distribution.Status {
	w.t.Helper()
	var status distribution.Status
	var failed error
	defer func() {
		if w.t.Failed() {
			w.t.Logf("status %+v, %v", status, failed)
		}
	}()
	eventually(w.t, fmt.Sprintf("revision %v in force at %d hosts", revision, hosts), func() bool {
		out, err := w.operator.InForce(context.Background(), "", revision, 10)
		if failed = err; err != nil {
			return false
		}
		status = out.Status
		return out.Complete && status.InForce == hosts
	})
	return status
}

// limits waits until all named sidecars have a limit on bodies in force.
func (w *settingsWorld) limits(want float64, names []string) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("a limit of %v bytes at %v", want, names), func() bool {
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
		w.t.Fatal(err)
	}
	return out
}

// status queries a relay for a revision's progress among its own subscribers or, at the writer,
// among all hosts. ok is false if it does not answer.
func (w *settingsWorld) status(relay *host, revision distribution.Revision) (out api.SettingsStatusOut, ok bool) {
	in := &api.SettingsStatusIn{Revision: revision, Limit: 10}
	err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsStatus, in, &out)
	return out, err == nil
}

// copied waits until the relays hold a revision.
func (w *settingsWorld) copied(revision distribution.Revision, relays ...*host) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("copies of revision %v", revision), func() bool {
		for _, relay := range relays {
			if out, ok := w.status(relay, revision); !ok || revision.After(out.Status.Latest) {
				return false
			}
		}
		return true
	})
}

// received waits until the copies of hosts are at a revision or after it.
func (w *settingsWorld) received(revision distribution.Revision, hosts ...*host) {
	w.t.Helper()
	for _, h := range hosts {
		eventually(w.t, fmt.Sprintf("revision %v at %s", revision, h.name), func() bool {
			return !revision.After(w.inspect(h, h.instances[0]).Settings.Received)
		})
	}
}

// accepted returns the revisions of the resources that an instance applied last, by name.
func (w *settingsWorld) accepted(h *host, instance string) map[string]distribution.Revision {
	w.t.Helper()
	revisions := make(map[string]distribution.Revision)
	for _, accepted := range w.inspect(h, instance).Settings.Accepted {
		revisions[accepted.Name] = accepted.Revision
	}
	return revisions
}
