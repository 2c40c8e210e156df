package main

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestReadyWithoutDependencies checks that processes that start at the same time are ready in time
// even if discovery never answers, and also if their predecessors are suspended.
func TestReadyWithoutDependencies(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	const maxStart = 10 * time.Second
	var all sync.WaitGroup
	for n := range 8 {
		f := newFixture(t, 256)
		text := mustReplace(t, f.configText(t), f.discoveryAddr, silent.Listener.Addr().String())
		if n%2 == 1 {
			text = withPolledDiscovery(t, text)
		}
		f.writeConfig(t, text)
		if n >= 4 {
			predecessor := f.startReadyProcess()
			predecessor.Process.Signal(syscall.SIGSTOP)
		}
		all.Go(func() {
			started := time.Now()
			f.startReadyProcess()
			if took := time.Since(started); took > maxStart {
				t.Errorf("process %d was ready after %v, want at most %v", n, took, maxStart)
			}
		})
	}
	all.Wait()
}
