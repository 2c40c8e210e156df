package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// What the agent's list says counts from the first moment of a new process: a server that
// `known` has as up and the list as draining, or no more, gets nothing.
func TestDiscoveredListReplacesKnown(t *testing.T) {
	for name, entry := range map[string]string{"draining": `{"name":"s0","address":%q,"status":"draining"},`, "gone": ""} {
		t.Run(name, func(t *testing.T) {
			var wrong atomic.Int64
			old := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { wrong.Add(1) }))
			t.Cleanup(old.Close)
			good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }))
			t.Cleanup(good.Close)
			at := old.Listener.Addr().String()
			if entry != "" {
				entry = fmt.Sprintf(entry, at)
			}
			agent := lists(t, fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s{"name":"s1","address":%q,"status":"up","weight":1}]}`, entry, good.Listener.Addr()))
			s := newShop(t, 256)
			text := replace(t, s.text(t), s.discovery, agent)
			text = replace(t, text, `"seed"`, fmt.Sprintf(`"known":{"index":3,"snapshot":true,"endpoints":[{"name":"s0","address":%q,"status":"up","weight":1}]},"seed"`, at))
			s.configure(t, text)
			s.running()
			for range 20 {
				if got := sendRequest(t, s.listen, http.MethodGet, "/look"); got != http.StatusOK {
					t.Errorf("answered %d", got)
				}
			}
			if n := wrong.Load(); n > 0 {
				t.Errorf("%d sends to a server that the list has as %s", n, name)
			}
		})
	}
}

// lists is a discovery that writes one list to each watch and keeps it open.
func lists(t *testing.T, list string) string {
	t.Helper()
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list+"\n")
		w.(http.Flusher).Flush()
		select {
		case <-end:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(end)
		s.Close()
	})
	return s.Listener.Addr().String()
}

// asking returns a configuration with which discovery is polled.
func asking(t *testing.T, text string) string {
	t.Helper()
	text = replace(t, text, `"registryMode":"automatic"`, `"registryMode":"subscribe"`)
	return replace(t, text, `"drainGraceUs":2000000`, `"drainGraceUs":2000000,"askWithinUs":10000000`)
}

// Where discovery is polled, a new configuration that moves it is followed well within the 4 s
// after which its list counts as notified, also while no watch is open.
func TestEndpointChangeIsFollowedWithoutWatch(t *testing.T) {
	s := newShop(t, 256)
	asked := make(chan struct{}, 100)
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(down.Close)
	text := asking(t, s.text(t))
	good, text := text, replace(t, text, s.discovery, down.Listener.Addr().String())
	s.configure(t, text)
	p := s.running()
	select {
	case <-asked: // and refused: the next call is seconds away
	case <-time.After(patience):
		t.Fatal("discovery was never asked")
	}
	p.retune(t, s, good)
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
			s := newShop(t, 256)
			asked := make(chan time.Time, 100)
			down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked <- time.Now()
				call(w, r)
			}))
			t.Cleanup(down.Close)
			text := asking(t, s.text(t))
			text = replace(t, text, s.discovery, down.Listener.Addr().String())
			s.configure(t, text)
			last := time.Now()
			s.running()
			for n := range 6 {
				select {
				case at := <-asked:
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

// After SIGTERM clients continue to send on every open connection, and on new ones for longer
// than the platform's clients do. Each request is answered, or its connection closes before
// anything of it was forwarded.
func TestStopOnIdleConnections(t *testing.T) {
	var ran sync.Map
	s := newShopBefore(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := s.running()
	var wg sync.WaitGroup
	var answered atomic.Int64
	for n := range 8 {
		wg.Go(func() {
			c := &http.Client{Timeout: patience, Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer c.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("k%d-%d", n, i)
				r, err := http.NewRequest(http.MethodPost, "http://"+s.listen+"/pay", strings.NewReader("card"))
				if err != nil {
					t.Error(err)
					return
				}
				r.GetBody = nil // nothing is sent again unseen
				r.Header.Set("Req-Id", id)
				resp, err := c.Do(r)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil {
					if _, did := ran.Load(id); did {
						t.Errorf("%s has run and was not answered: %v", id, err)
					}
					return // the connection is closed, and nobody listens any more
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "clients that are served", func() bool { return answered.Load() > 100 })
	before := answered.Load()
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.ends(t); err != nil {
		t.Error(err)
	}
	if answered.Load() == before {
		t.Error("nobody was answered after SIGTERM: the test shows nothing")
	}
}

// Learned state is a hint for the next process; a file that is torn, empty or another
// sidecar's is reported as such, and the sidecar serves all the same.
func TestCheckpointsNotTrusted(t *testing.T) {
	s := newShop(t, 256)
	keep := filepath.Join(t.TempDir(), "checkpoint")
	t.Setenv("MARTENDRUM_FLEET", "return")
	t.Setenv("MARTENDRUM_CHECKPOINT", keep)
	life := func(want string) {
		t.Helper()
		s.dir = t.TempDir() // nothing is left of the process before but the checkpoint
		p := s.running()
		if want != "" {
			eventually(t, want, func() bool { return strings.Contains(p.log.String(), want) })
		}
		for range 5 {
			if err := visit(http.DefaultClient, s.listen); err != nil {
				t.Error(err)
			}
		}
		eventually(t, "the end of its return", func() bool { return strings.Contains(p.log.String(), "phase serving") })
		p.Process.Signal(syscall.SIGTERM)
		p.ends(t)
	}
	life("")
	good, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	life("checkpoint restored as a hint")
	for want, data := range map[string][]byte{"empty": nil, "torn or damaged": good[:len(good)/2]} {
		if err := os.WriteFile(keep, data, 0o600); err != nil {
			t.Fatal(err)
		}
		life(want)
		if now, _ := os.ReadFile(keep); len(now) < len(good)/2 {
			t.Errorf("%s: the file was not written anew", want)
		}
	}
	listen := s.listen
	s.listen = freeAddr(t)
	text := replace(t, s.text(t), listen, s.listen)
	s.configure(t, text)
	before, _ := os.ReadFile(keep)
	life("of another sidecar")
	if now, _ := os.ReadFile(keep); string(now) != string(before) {
		t.Error("another's file was written over")
	}
}

// An unknown feature of MARTENDRUM_FLEET and an invalid list of peers are reported with advice.
func TestCoordinationFeatures(t *testing.T) {
	s := newShop(t, 256)
	for words, keep := range map[string]string{"retrun": "", "peers": "", "return, breakers": "", "": "somewhere"} {
		_, err := load(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": s.config, "MARTENDRUM_FLEET": words, "MARTENDRUM_CHECKPOINT": keep}[name]
		})
		if e, ok := errors.AsType[*CoordinationError](err); !ok || e.Advice() == "" {
			t.Errorf("%q: %v", words, err)
		}
	}
}
