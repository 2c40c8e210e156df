package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestDiscoveredListReplacesKnown checks that a new process applies discovery's list from its first
// request on: a server that is up in the known list of the configuration, but draining or missing
// in discovery's list, receives no request.
func TestDiscoveredListReplacesKnown(t *testing.T) {
	for state, entry := range map[string]string{"draining": `{"name":"s0","address":%q,"status":"draining"},`, "gone": ""} {
		t.Run(state, func(t *testing.T) {
			var misrouted atomic.Int64
			old := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misrouted.Add(1) }))
			t.Cleanup(old.Close)
			good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }))
			t.Cleanup(good.Close)
			oldAddr := old.Listener.Addr().String()
			if entry != "" {
				entry = fmt.Sprintf(entry, oldAddr)
			}
			discoveryAddr := staticDiscovery(t, fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s{"name":"s1","address":%q,"status":"up","weight":1}]}`, entry, good.Listener.Addr()))
			f := newFixture(t, 256)
			text := mustReplace(t, f.configText(t), f.discoveryAddr, discoveryAddr)
			text = mustReplace(t, text, `"seed"`, fmt.Sprintf(`"known":{"index":3,"snapshot":true,"endpoints":[{"name":"s0","address":%q,"status":"up","weight":1}]},"seed"`, oldAddr))
			f.writeConfig(t, text)
			f.startReadyProcess()
			for range 20 {
				if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusOK {
					t.Errorf("GET /look: got status %d, want 200", got)
				}
			}
			if n := misrouted.Load(); n > 0 {
				t.Errorf("server that is %s in discovery's list: got %d requests, want 0", state, n)
			}
		})
	}
}

// TestEndpointChangeIsFollowedWithoutWatch checks that, where discovery is polled, a new
// configuration that changes the address of discovery is followed within 4 s, well before the
// platform assumes that the sidecar knows the new list. At the change no watch is open, because the
// old discovery rejects all calls.
func TestEndpointChangeIsFollowedWithoutWatch(t *testing.T) {
	f := newFixture(t, 256)
	called := make(chan struct{}, 100)
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(down.Close)
	text := withPolledDiscovery(t, f.configText(t))
	good, text := text, mustReplace(t, text, f.discoveryAddr, down.Listener.Addr().String())
	f.writeConfig(t, text)
	p := f.startReadyProcess()
	select {
	case <-called: // the call is rejected, so that no watch is open
	case <-time.After(eventTimeout):
		t.Fatal("discovery was never called")
	}
	p.reloadConfig(t, f, good)
	reloaded := time.Now()
	eventually(t, "the list of the new discovery to be applied", func() bool { return p.metric(t, "pool_size") == 1 })
	if took := time.Since(reloaded); took > 4*time.Second {
		t.Errorf("the list of the new discovery was applied %v after the reload, want at most 4s", took)
	}
}

// TestFailedCallIsRetriedInTime checks that, where discovery is polled, a call that discovery rejects,
// resets or leaves unanswered is followed by the next call well before the sidecar counts as notified
// of discovery's changes, that is, before the platform assumes that it knows them, however often
// calls fail.
func TestFailedCallIsRetriedInTime(t *testing.T) {
	for failure, fail := range map[string]func(w http.ResponseWriter, r *http.Request){
		"rejected": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"reset":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(failure, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			called := make(chan time.Time, 100)
			down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				called <- time.Now()
				fail(w, r)
			}))
			t.Cleanup(down.Close)
			text := withPolledDiscovery(t, f.configText(t))
			text = mustReplace(t, text, f.discoveryAddr, down.Listener.Addr().String())
			f.writeConfig(t, text)
			last := time.Now()
			f.startReadyProcess()
			for n := range 6 {
				select {
				case at := <-called:
					if gap := at.Sub(last); gap > 5500*time.Millisecond-2*time.Second {
						t.Errorf("call %d came %v after the previous one, want at most 3.5s: the change counts as notified after 5.5s, and the call may wait for 2s", n, gap)
					} else if n > 0 && gap < 50*time.Millisecond {
						t.Errorf("call %d came %v after the previous one, want at least 50ms", n, gap)
					}
					last = at
				case <-time.After(eventTimeout):
					t.Fatalf("discovery received no call %d within %v", n, eventTimeout)
				}
			}
		})
	}
}
