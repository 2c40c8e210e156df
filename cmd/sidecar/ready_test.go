package main

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Processes that start together are ready in time, even if discovery never answers or a predecessor
// is suspended.
func TestReadyWithoutDependencies(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	const maxReady = 10 * time.Second
	var all sync.WaitGroup
	for n := range 8 {
		f := newFixture(t, 256)
		text := mustReplace(t, f.configText(t), f.discoveryAddr, silent.Listener.Addr().String())
		if n%2 == 1 {
			text = withPolledDiscovery(t, text)
		}
		f.writeConfig(t, text)
		if n >= 4 {
			old := f.startReadyProcess()
			old.Process.Signal(syscall.SIGSTOP)
		}
		all.Go(func() {
			began := time.Now()
			f.startReadyProcess()
			if took := time.Since(began); took > maxReady {
				t.Errorf("process %d was ready after %v", n, took)
			}
		})
	}
	all.Wait()
}
