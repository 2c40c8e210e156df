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

// generatedClass is a class of generated settings, as a client needs to know it.
type generatedClass struct{ name, idempotency string }

// generateSettings draws the settings of an arbitrary customer: classes of any idempotency, tenants,
// zones, limits and costs; optional keys may be absent unless complete is true.
func generateSettings(rng *rand.Rand, complete bool) (settings map[string]any, kinds []generatedClass) {
	word := func() string {
		b := make([]byte, 3+rng.IntN(12))
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789-_."[rng.IntN(36+3*min(i, 1))]
		}
		return string(b)
	}
	us := func(from, to time.Duration) int64 {
		return (from + time.Duration(rng.Float64()*float64(to-from))).Microseconds()
	}
	maybe := func(m map[string]any, key string, value any) {
		if complete || rng.IntN(2) == 0 {
			m[key] = value
		}
	}
	var classes []any
	for range 1 + rng.IntN(7) {
		k := generatedClass{word(), []string{"repeatable", "by_key", "once"}[rng.IntN(3)]}
		limit := us(2*time.Second, 3*time.Second)
		c := map[string]any{"name": k.name, "effect": k.idempotency, "hardLimitUs": limit, "promiseUs": 1 + rng.Int64N(limit)}
		maybe(c, "worth", rng.Float64()*20)
		maybe(c, "lateValue", rng.Float64())
		maybe(c, "dedupScope", []string{"all", "zone", "cell"}[rng.IntN(3)])
		maybe(c, "repeatWindowUs", us(0, 5*time.Second))
		maybe(c, "stream", false)
		maybe(c, "aimStretch", rng.Float64())
		classes, kinds = append(classes, c), append(kinds, k)
	}
	caps := map[string]any{"attemptsCap": 1 + rng.IntN(6), "connIdleUs": us(time.Second, time.Minute), "dialTimeoutUs": us(100*time.Millisecond, time.Second)}
	maybe(caps, "mostHeld", 50+rng.IntN(1000))
	maybe(caps, "mayCancel", rng.IntN(2) == 0)
	maybe(caps, "secondCopies", rng.IntN(2) == 0)
	maybe(caps, "probes", rng.IntN(2) == 0)
	maybe(caps, "retryAfter", rng.IntN(2) == 0)
	maybe(caps, "maxRetryAfterUs", us(0, 5*time.Second))
	maybe(caps, "peers", false)
	must := map[string]any{"drainGraceUs": us(0, 3*time.Second), "coldFrom": rng.Float64()}
	maybe(must, "coldUs", us(0, 30*time.Second))
	maybe(must, "overloadFactor", rng.Float64()*6)
	maybe(must, "overloadForUs", us(0, 3*time.Second))
	maybe(must, "askWithinUs", us(200*time.Millisecond, 20*time.Second))
	settings = map[string]any{"replicasOfMe": 1 + rng.IntN(400), "classes": classes, "caps": caps, "guarantees": must}
	maybe(settings, "registryMode", []string{"automatic", "subscribe"}[rng.IntN(2)])
	maybe(settings, "costs", map[string]any{"connection": rng.Float64(), "crossZone": rng.Float64(), "probe": rng.Float64(), "waste": rng.Float64()})
	maybe(settings, "feedback", map[string]any{"how": []string{"none", "answers", "probe"}[rng.IntN(3)], "fields": []string{word()}})
	maybe(settings, "overShareWorth", rng.Float64())
	maybe(settings, "zone", word())
	maybe(settings, "family", word())
	maybe(settings, "rank", rng.IntN(400))
	maybe(settings, word(), word()) // a key that nobody knows
	if complete || rng.IntN(2) == 0 {
		var tenants []any
		for range rng.IntN(5) {
			tenants = append(tenants, map[string]any{"name": word(), "allowancePerS": rng.Float64() * 100})
		}
		settings["tenants"] = tenants
	}
	return settings, kinds
}

// request returns a request of the class in the protocol's form.
func (k generatedClass) request(t *testing.T, addr, id, path string) *http.Request {
	t.Helper()
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if k.idempotency == "repeatable" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, "http://"+addr+"/"+k.name+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", k.name)
	if k.idempotency == "by_key" {
		r.Header.Set("Idempotency-Key", "k"+id)
	}
	return r
}

// The program serves any customer's settings: each class by its own values and, after SIGHUP
// to another customer's complete settings, open requests by the old ones and new requests by
// the new ones.
func TestGeneratedSettings(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testGeneratedSettings(t, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

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
	first, classes := generateSettings(rng, false)
	f.writeConfig(t, withSettings(t, f, first))
	p := f.startReadyProcess()
	eventually(t, "the list", func() bool { return p.metric(t, "pool_size") == 1 })
	client := &classClient{t: t, addr: f.listen, client: &http.Client{Timeout: patience}}
	defer client.client.CloseIdleConnections()
	for _, class := range classes {
		if got := client.status(class, "/x"); got != http.StatusOK {
			t.Errorf("%+v was answered %d", class, got)
		}
	}
	var open sync.WaitGroup
	for n, class := range classes {
		sendBlocked(t, &open, f.listen, fmt.Sprint("held", n), class)
		<-arrived
	}
	second, newClasses := generateSettings(rng, true)
	addMissingKeys(second, first)
	p.reloadConfig(t, f, withSettings(t, f, second))
	if n := p.metric(t, "config_applied"); n != 1 {
		t.Fatalf("the second settings were rejected: %s", p.log)
	}
	for _, class := range newClasses {
		if got := client.status(class, "/x"); got != http.StatusOK {
			t.Errorf("new %+v was answered %d", class, got)
		}
	}
	for _, class := range classes {
		if got := client.status(class, "/x"); got != http.StatusNotFound {
			t.Errorf("old %+v was answered %d, want that there is none", class, got)
		}
	}
	release()
	open.Wait()
	p.Process.Signal(syscall.SIGTERM)
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
}

// withSettings returns the fixture's configuration with other settings.
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

// addMissingKeys adds the keys that next lacks: a file may not lack a key of the one in force.
func addMissingKeys(next, inForce map[string]any) {
	for key := range inForce {
		if _, ok := next[key]; !ok {
			next[key] = inForce[key]
		}
	}
}

// classClient sends requests of generated classes, each with an id of its own.
type classClient struct {
	t      *testing.T
	addr   string
	client *http.Client
	sent   int
}

// status sends a request and returns the status of its answer, 0 if there was none.
func (c *classClient) status(class generatedClass, path string) int {
	c.sent++
	resp, err := c.client.Do(class.request(c.t, c.addr, fmt.Sprint("g", c.sent), path))
	if err != nil {
		c.t.Errorf("%+v: %v", class, err)
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// sendBlocked sends a request that the server holds, and checks in the background that it is
// answered in the end. open counts it.
func sendBlocked(t *testing.T, open *sync.WaitGroup, addr, id string, class generatedClass) {
	t.Helper()
	request := class.request(t, addr, id, "/held")
	open.Go(func() {
		resp, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Errorf("held %+v: %v", class, err)
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("held %+v was answered %d", class, resp.StatusCode)
		}
	})
}
