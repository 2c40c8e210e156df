package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// generatedClass is a class of generated settings, with what a client needs to send its requests.
type generatedClass struct{ name, idempotency string }

// generateSettings returns random valid settings, such as any customer may configure, and a list of
// their classes. The settings have classes of every kind of idempotency, tenants, zones, limits and
// costs. Optional keys may be absent unless complete is true.
func generateSettings(rng *rand.Rand, complete bool) (settings map[string]any, generated []generatedClass) {
	word := func() string {
		b := make([]byte, 3+rng.IntN(12))
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789-_."[rng.IntN(36+3*min(i, 1))]
		}
		return string(b)
	}
	microseconds := func(from, to time.Duration) int64 {
		return (from + time.Duration(rng.Float64()*float64(to-from))).Microseconds()
	}
	addOptional := func(object map[string]any, key string, value any) {
		if complete || rng.IntN(2) == 0 {
			object[key] = value
		}
	}
	var classes []any
	for range 1 + rng.IntN(7) {
		class := generatedClass{word(), []string{"repeatable", "by_key", "once"}[rng.IntN(3)]}
		limit := microseconds(2*time.Second, 3*time.Second)
		object := map[string]any{"name": class.name, "effect": class.idempotency, "hardLimitUs": limit, "promiseUs": 1 + rng.Int64N(limit)}
		addOptional(object, "worth", rng.Float64()*20)
		addOptional(object, "lateValue", rng.Float64())
		addOptional(object, "dedupScope", []string{"all", "zone", "cell"}[rng.IntN(3)])
		addOptional(object, "repeatWindowUs", microseconds(0, 5*time.Second))
		addOptional(object, "stream", false)
		addOptional(object, "aimStretch", rng.Float64())
		classes, generated = append(classes, object), append(generated, class)
	}
	caps := map[string]any{"attemptsCap": 1 + rng.IntN(6), "connIdleUs": microseconds(time.Second, time.Minute), "dialTimeoutUs": microseconds(100*time.Millisecond, time.Second)}
	addOptional(caps, "mostHeld", 50+rng.IntN(1000))
	addOptional(caps, "mayCancel", rng.IntN(2) == 0)
	addOptional(caps, "secondCopies", rng.IntN(2) == 0)
	addOptional(caps, "probes", rng.IntN(2) == 0)
	addOptional(caps, "retryAfter", rng.IntN(2) == 0)
	addOptional(caps, "maxRetryAfterUs", microseconds(0, 5*time.Second))
	addOptional(caps, "peers", false)
	guarantees := map[string]any{"drainGraceUs": microseconds(0, 3*time.Second), "coldFrom": rng.Float64()}
	addOptional(guarantees, "coldUs", microseconds(0, 30*time.Second))
	addOptional(guarantees, "overloadFactor", rng.Float64()*6)
	addOptional(guarantees, "overloadForUs", microseconds(0, 3*time.Second))
	addOptional(guarantees, "askWithinUs", microseconds(200*time.Millisecond, 20*time.Second))
	settings = map[string]any{"replicasOfMe": 1 + rng.IntN(400), "classes": classes, "caps": caps, "guarantees": guarantees}
	addOptional(settings, "registryMode", []string{"automatic", "subscribe"}[rng.IntN(2)])
	addOptional(settings, "costs", map[string]any{"connection": rng.Float64(), "crossZone": rng.Float64(), "probe": rng.Float64(), "waste": rng.Float64()})
	addOptional(settings, "feedback", map[string]any{"how": []string{"none", "answers", "probe"}[rng.IntN(3)], "fields": []string{word()}})
	addOptional(settings, "overShareWorth", rng.Float64())
	addOptional(settings, "zone", word())
	addOptional(settings, "family", word())
	addOptional(settings, "rank", rng.IntN(400))
	addOptional(settings, word(), word()) // a key that the program does not know
	if complete || rng.IntN(2) == 0 {
		var tenants []any
		for range rng.IntN(5) {
			tenants = append(tenants, map[string]any{"name": word(), "allowancePerS": rng.Float64() * 100})
		}
		settings["tenants"] = tenants
	}
	return settings, generated
}

// request returns a request of the class, with the method and the header fields that the sidecar
// needs. A class that is repeatable by key gets an Idempotency-Key.
func (c generatedClass) request(t *testing.T, addr, id, path string) *http.Request {
	t.Helper()
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if c.idempotency == "repeatable" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, "http://"+addr+"/"+c.name+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil // so that the client does not retry by itself
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", c.name)
	if c.idempotency == "by_key" {
		r.Header.Set("Idempotency-Key", "k"+id)
	}
	return r
}

// TestGeneratedSettings checks that the sidecar serves every class of random settings. After a
// reload with other settings, requests that were open are answered under the old settings, and new
// requests under the new ones.
func TestGeneratedSettings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testGeneratedSettings(t, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

// testGeneratedSettings runs TestGeneratedSettings with the settings that rng yields.
func testGeneratedSettings(t *testing.T, rng *rand.Rand) {
	arrived, hold := make(chan struct{}, 100), make(chan struct{})
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/held") {
			arrived <- struct{}{}
			<-hold
		}
		io.WriteString(w, "one")
	}, 256)
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	oldSettings, oldClasses := generateSettings(rng, false)
	f.writeConfig(t, withSettings(t, f, oldSettings))
	p := f.startReadyProcess()
	eventually(t, "the list of discovery to be applied", func() bool { return p.metric(t, "pool_size") == 1 })
	client := &classClient{t: t, addr: f.listen, client: &http.Client{Timeout: eventTimeout}}
	defer client.client.CloseIdleConnections()
	for _, class := range oldClasses {
		if got := client.status(class, "/x"); got != http.StatusOK {
			t.Errorf("request of class %+v: got status %d, want 200", class, got)
		}
	}
	var open sync.WaitGroup
	for n, class := range oldClasses {
		sendBlocked(t, &open, f.listen, fmt.Sprint("held", n), class)
		<-arrived
	}
	newSettings, newClasses := generateSettings(rng, true)
	addMissingKeys(newSettings, oldSettings)
	p.reloadConfig(t, f, withSettings(t, f, newSettings))
	if n := p.metric(t, "config_applied"); n != 1 {
		t.Fatalf("reload with the new settings: got config_applied %v, want 1; log:\n%s", n, p.log)
	}
	for _, class := range newClasses {
		if got := client.status(class, "/x"); got != http.StatusOK {
			t.Errorf("request of new class %+v after the reload: got status %d, want 200", class, got)
		}
	}
	for _, class := range oldClasses {
		if got := client.status(class, "/x"); got != http.StatusNotFound {
			t.Errorf("request of dropped class %+v after the reload: got status %d, want 404", class, got)
		}
	}
	release()
	open.Wait()
	p.Process.Signal(syscall.SIGTERM)
	if err := p.waitExit(t); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
}

// withSettings returns the text of the fixture's configuration file with the given settings.
func withSettings(t *testing.T, f *fixture, settings map[string]any) string {
	t.Helper()
	var file map[string]any
	if err := json.Unmarshal([]byte(f.configText(t)), &file); err != nil {
		t.Fatal(err)
	}
	file["settings"] = settings
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// addMissingKeys adds the keys of inForce that next lacks, because a reload rejects a file that
// lacks a top-level key of the settings in force.
func addMissingKeys(next, inForce map[string]any) {
	for key := range inForce {
		if _, ok := next[key]; !ok {
			next[key] = inForce[key]
		}
	}
}

// classClient sends requests of generated classes, each with an id of its own, and fails the test
// if one gets no answer.
type classClient struct {
	t      *testing.T
	addr   string
	client *http.Client
	sent   int
}

// status sends a request and returns the status of the answer, 0 if there was none.
func (c *classClient) status(class generatedClass, path string) int {
	c.sent++
	resp, err := c.client.Do(class.request(c.t, c.addr, fmt.Sprint("g", c.sent), path))
	if err != nil {
		c.t.Errorf("request of class %+v: %v", class, err)
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// sendBlocked sends a request that the server holds, and checks in a goroutine of open that it is
// answered with 200 in the end.
func sendBlocked(t *testing.T, open *sync.WaitGroup, addr, id string, class generatedClass) {
	t.Helper()
	request := class.request(t, addr, id, "/held")
	open.Go(func() {
		resp, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Errorf("request of class %+v, held by the server: %v", class, err)
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request of class %+v, held by the server: got status %d, want 200", class, resp.StatusCode)
		}
	})
}
