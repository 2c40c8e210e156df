package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/standin/faultnet"
	"martendrum/internal/standin/shop"
)

// stagedSlot lets only one world of newStagedWorld run at a time. Each has clients, and the load of
// several would break the time bounds of other tests.
var stagedSlot = make(chan struct{}, 1)

// skipShort skips a test that takes too long for -short.
func skipShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("takes too long for -short")
	}
}

// newStagedWorld starts a fleet whose agents collect metrics every half second. With the address of
// a discovery service, its sidecars use the servers of that service instead of the world's own.
func newStagedWorld(t testing.TB, hosts, perHost int, discovery ...string) *world {
	t.Helper()
	stagedSlot <- struct{}{}
	t.Cleanup(func() { <-stagedSlot })
	w := newWorldWithSections(t, hosts, perHost, "[figures]\nslot = \"500ms\"\nkeep = \"5m\"\n")
	for _, d := range discovery {
		files, err := filepath.Glob(filepath.Join(w.dir, "h*", "h*.json"))
		if err != nil || len(files) != hosts*perHost {
			t.Fatalf("found the sidecars' configurations %v, error %v; want %d files", files, err, hosts*perHost)
		}
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err == nil {
				err = os.WriteFile(f, []byte(strings.ReplaceAll(string(text), w.shop.Discovery, d)), 0o600)
			}
			if err != nil {
				t.Fatalf("editing the configuration %s: %v", f, err)
			}
		}
	}
	w.startAll()
	return w
}

// startServers starts additional application servers and returns the address of their discovery
// service, for a release's overlay or for newStagedWorld. serve may answer a request, whose number
// it gets, and return true; otherwise the server answers it as usual.
func startServers(t testing.TB, serve func(n int64, w http.ResponseWriter, r *http.Request) (done bool)) string {
	t.Helper()
	var n atomic.Int64
	s, err := shop.NewWith(4, func(s *shop.Shop, name string, w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if serve(n.Add(1), w, r) {
			return
		}
		s.CountRun(r.Header.Get("Req-Id"))
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "%s by %s", r.Header.Get("Req-Id"), name)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Discovery
}

// change is a running command martendrum change.
type change struct {
	world *world
	cmd   *exec.Cmd
	out   strings.Builder // standard output; complete once done is closed
	errs  strings.Builder // standard error, likewise
	done  chan struct{}   // closed when the command has ended
	id    string          // of the operation, set by report
}

// quickChange holds the flags of a change with stages of a few seconds, and with margins for the
// comparison of a few hundred requests.
var quickChange = slices.Clip([]string{"--all", "--least", "2s", "--longest", "40s", "--past", "6", "--warm", "500ms", "--soak", "200ms", "--batch", "3", "--max-unavailable", "6",
	"--lease", "3s", "--seed", "1", "--max-shop", "", "--margin", "unserved=0.03:0.3", "--margin", "worth=0.03:0.3", "--margin", "failed=0.03:0.3",
	"--margin", "slow=0.3:0.9", "--margin", "attempts=0.1:0.6", "--margin", "declined=0.1:0.6", "--margin", "crashes=1:12", "--margin", "memory=off", "--margin", "files=off"})

// startChange starts martendrum change with the arguments. The command is killed at the end of the
// test.
func (w *world) startChange(args ...string) *change {
	w.t.Helper()
	c := &change{world: w, done: make(chan struct{})}
	c.cmd = exec.Command(filepath.Join(w.binaries, "martendrum"), append([]string{"--fleet", w.inventoryPath, "--json", "change"}, args...)...)
	c.cmd.Stdout, c.cmd.Stderr = &c.out, &c.errs
	if err := c.cmd.Start(); err != nil {
		w.t.Fatalf("starting martendrum change: %v", err)
	}
	go func() {
		c.cmd.Wait()
		close(c.done)
	}()
	w.t.Cleanup(func() {
		c.cmd.Process.Kill()
		<-c.done
		if w.t.Failed() {
			w.t.Logf("martendrum change printed the errors %s\nand the output %.100s", c.errs.String(), c.out.String())
		}
	})
	return c
}

// report waits until the command has ended, for 90 s at most, and parses the report that it
// printed.
func (c *change) report() *client.Report {
	c.world.t.Helper()
	select {
	case <-c.done:
	case <-time.After(90 * time.Second):
		c.world.t.Fatal("martendrum change has not ended after 90 s")
	}
	rep := &client.Report{}
	if err := json.Unmarshal([]byte(c.out.String()), rep); err != nil {
		c.world.t.Fatalf("parsing the report of martendrum change: %v\noutput: %s\nerrors: %s", err, c.out.String(), c.errs.String())
	}
	c.id = rep.Operation.ID
	return rep
}

// waitForReport polls the agents until fits accepts the report of one of their operations, and
// returns that report. what describes the condition that fits checks.
func (w *world) waitForReport(what string, fits func(*client.Report) bool) *client.Report {
	w.t.Helper()
	var rep *client.Report
	eventually(w.t, what, func() bool {
		for _, a := range w.fleet.Agents {
			var ops api.OpsOut
			if a.Call(context.Background(), api.OpList, api.Empty{}, &ops) != nil {
				continue
			}
			for _, o := range ops.Ops {
				if r, err := w.fleet.Report(context.Background(), o.Operation.ID); err == nil && fits(r) {
					rep = r
					return true
				}
			}
		}
		return false
	})
	return rep
}

// startLoad starts clients that send each instance a request about every 40 ms. Every second
// request is an activate.
func (w *world) startLoad() *trafficClients { return w.startTraffic(40 * time.Millisecond) }

// countChanged returns how many instances the operation has begun to change, whether or not they
// were rolled back later.
func countChanged(rep *client.Report) (n int) {
	for _, r := range rep.Rows {
		for _, s := range r.Steps {
			if s.Kind == api.Change {
				n++
			}
		}
	}
	return n
}

// checkRelease waits until every instance is ready and checks that it runs the release base.
func (w *world) checkRelease(base string) {
	w.t.Helper()
	for _, h := range w.waitReady() {
		for _, i := range h.Instances {
			if i.Running != base || i.Release != base {
				w.t.Errorf("%s runs release %.12s and is desired to run %.12s, want %.12s", i.Name, i.Running, i.Release, base)
			}
		}
	}
}

// runningRelease returns the release that the first instance of the fleet runs.
func (w *world) runningRelease() string { return w.waitReady()[0].Instances[0].Running }

// writeOverlay writes an overlay file and returns its path.
func (w *world) writeOverlay(text string) string {
	w.t.Helper()
	path := filepath.Join(w.dir, fmt.Sprintf("overlay-%d.json", lastUnique.Add(1)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// addLinks creates a link to each agent, in the order of the hosts, and an inventory with which
// later commands reach the agents through these links.
func (w *world) addLinks(network *faultnet.Net) (links []*faultnet.Link) {
	w.t.Helper()
	var inv strings.Builder
	inv.WriteString("timeout = \"1s\"\n")
	for _, h := range w.hosts {
		link, err := network.TCP(h.name, "unix:"+filepath.Join(filepath.Dir(h.config), "a"))
		if err != nil {
			w.t.Fatalf("creating the link to %s: %v", h.name, err)
		}
		fmt.Fprintf(&inv, "[[host]]\nname = %q\naddress = \"tcp:%s\"\n", h.name, link.Addr())
		links = append(links, link)
	}
	w.inventoryPath = filepath.Join(w.dir, "linked.toml")
	if err := os.WriteFile(w.inventoryPath, []byte(inv.String()), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return links
}
