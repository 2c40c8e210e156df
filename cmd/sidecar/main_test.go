package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// backend answers with its name; a request to /pay waits for hold.
func backend(t *testing.T, name string, came chan<- struct{}, hold <-chan struct{}) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			came <- struct{}{}
			<-hold
		}
		io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// registry is a discovery that lists one server and keeps its watches open.
func registry(t testing.TB, index int, name, addr string) string {
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"status":"up","weight":1}]}`+"\n", index, name, addr)
		for {
			w.(http.Flusher).Flush()
			select {
			case <-end:
				return
			case <-r.Context().Done():
				return
			case <-time.After(500 * time.Millisecond):
				io.WriteString(w, "\n")
			}
		}
	}))
	t.Cleanup(func() {
		close(end)
		s.Close()
	})
	return s.Listener.Addr().String()
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("it never came to: " + what)
		}
	}
}

const configForm = `{"listen":"127.0.0.1:0","discovery":%q,"seed":"1f","limits":{"cores":4,"memory_mb":512,"sockets":256},
	"settings":{"replicasOfMe":1,"registryMode":"automatic",
	"caps":{"attemptsCap":3,"connIdleUs":30000000,"dialTimeoutUs":5000000,"mostHeld":100},
	"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
	"classes":[{"name":"look","promiseUs":20000000,"hardLimitUs":20000000,"effect":"repeatable"},
	{"name":"pay","promiseUs":20000000,"hardLimitUs":20000000,"effect":"once"}]}}`

// A reload moves to the discovery that the file names now, though the environment
// still names the old one, and no request is lost by it; a file that can't be read
// changes nothing. A stop answers what was taken.
func TestReloadAndStop(t *testing.T) {
	came, hold := make(chan struct{}, 1), make(chan struct{})
	first := registry(t, 50, "s1", backend(t, "one", came, hold))
	second := registry(t, 3, "s2", backend(t, "two", came, hold))
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(configForm, first))
	t.Setenv("BALANCER_CONFIG", path)
	t.Setenv("BALANCER_DISCOVERY", first)
	t.Setenv("BALANCER_LISTEN", "")
	c, err := load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	term, hup, done := make(chan time.Time, 1), make(chan os.Signal, 1), make(chan error, 1)
	r := &resources{config: c, listeners: []*net.TCPListener{ln.(*net.TCPListener)}}
	r.Limit(c.fullQuota())
	go func() { done <- run(c, r, nil, nil, signals{terminate: term, reload: hup}) }()

	client := &http.Client{Timeout: patience, Transport: &http.Transport{}}
	id := 0
	ask := func(method, path string) (int, string) {
		id++
		var body io.Reader
		if method == http.MethodPost {
			body = strings.NewReader("card")
		}
		r, err := http.NewRequest(method, "http://"+ln.Addr().String()+path, body)
		if err != nil {
			return 0, err.Error()
		}
		r.Header.Set("Req-Id", fmt.Sprint(id))
		resp, err := client.Do(r)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	eventually(t, "ready", func() bool { s, _ := ask("GET", "/_health"); return s == http.StatusOK })
	eventually(t, "an answer of the first server", func() bool { _, b := ask("GET", "/look"); return b == "one" })

	// The health response names the file in force.
	told := func() string {
		r, err := client.Get("http://" + ln.Addr().String() + "/_health")
		if err != nil {
			return err.Error()
		}
		r.Body.Close()
		return r.Header.Get(healthConfigHash)
	}
	sumOf := func(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
	if got := told(); got != sumOf(fmt.Sprintf(configForm, first)) {
		t.Errorf("the configuration in force is told to be %s", got)
	}

	write("{")
	hup <- syscall.SIGHUP
	eventually(t, "the reload of a bad file", func() bool { return len(hup) == 0 })
	if s, b := ask("GET", "/look"); s != http.StatusOK || b != "one" {
		t.Errorf("after a bad file: %d %q", s, b)
	}
	if got := told(); got != sumOf(fmt.Sprintf(configForm, first)) {
		t.Errorf("after a bad file the configuration in force is told to be %s", got)
	}

	write(fmt.Sprintf(configForm, second))
	hup <- syscall.SIGHUP
	eventually(t, "an answer of the second server", func() bool {
		s, b := ask("GET", "/look")
		if s != http.StatusOK {
			t.Errorf("a request failed at the reload: %d %q", s, b)
		}
		return b == "two"
	})

	if got := told(); got != sumOf(fmt.Sprintf(configForm, second)) {
		t.Errorf("after the reload the configuration in force is told to be %s", got)
	}

	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 1)
	go func() {
		s, b := ask("POST", "/pay")
		answers <- answer{s, b}
	}()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("the request never came to the server")
	}
	term <- time.Now()
	eventually(t, "the stop", func() bool { return len(term) == 0 })
	close(hold)
	if a := <-answers; a != (answer{http.StatusOK, "two"}) {
		t.Errorf("the request open at the stop was answered %v", a)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("it did not end")
	}
}
