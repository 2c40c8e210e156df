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

// A new process applies discovery's list from its first request on: a server that is up in `known`
// but draining or missing in the list gets no request.
func TestDiscoveredListReplacesKnown(t *testing.T) {
	for name, entry := range map[string]string{"draining": `{"name":"s0","address":%q,"status":"draining"},`, "gone": ""} {
		t.Run(name, func(t *testing.T) {
			var misrouted atomic.Int64
			old := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misrouted.Add(1) }))
			t.Cleanup(old.Close)
			good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }))
			t.Cleanup(good.Close)
			at := old.Listener.Addr().String()
			if entry != "" {
				entry = fmt.Sprintf(entry, at)
			}
			agent := staticDiscovery(t, fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s{"name":"s1","address":%q,"status":"up","weight":1}]}`, entry, good.Listener.Addr()))
			f := newFixture(t, 256)
			text := mustReplace(t, f.configText(t), f.discoveryAddr, agent)
			text = mustReplace(t, text, `"seed"`, fmt.Sprintf(`"known":{"index":3,"snapshot":true,"endpoints":[{"name":"s0","address":%q,"status":"up","weight":1}]},"seed"`, at))
			f.writeConfig(t, text)
			f.startReadyProcess()
			for range 20 {
				if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusOK {
					t.Errorf("answered %d", got)
				}
			}
			if n := misrouted.Load(); n > 0 {
				t.Errorf("%d requests were sent to a server that the list has as %s", n, name)
			}
		})
	}
}

// Where discovery is polled, a new configuration that moves it is followed well within the 4 s
// after which its list counts as notified, also while no watch is open.
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
	case <-called: // and rejected: the next call is seconds away
	case <-time.After(patience):
		t.Fatal("discovery was never called")
	}
	p.reloadConfig(t, f, good)
	began := time.Now()
	eventually(t, "the new discovery's list", func() bool { return p.metric(t, "pool_size") == 1 })
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("after %v", took)
	}
}

// Where discovery is polled, a call that it rejects, loses or leaves unanswered is followed by
// the next one well before its changes count as notified, however often that happens.
func TestFailedCallIsRetriedInTime(t *testing.T) {
	for name, call := range map[string]func(w http.ResponseWriter, r *http.Request){
		"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"reset":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 256)
			called := make(chan time.Time, 100)
			down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				called <- time.Now()
				call(w, r)
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
						t.Errorf("call %d came %v after the one before, and it may wait for 2 s", n, gap)
					} else if n > 0 && gap < 50*time.Millisecond {
						t.Errorf("call %d came just %v after the one before", n, gap)
					}
					last = at
				case <-time.After(patience):
					t.Fatalf("no call %d", n)
				}
			}
		})
	}
}
