package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// inProcessSidecar is a sidecar that runs in the test's own process.
type inProcessSidecar struct {
	t          *testing.T
	configPath string
	listen     string
	terminate  chan time.Time
	hangup     chan os.Signal
	exited     chan error // what run returned
	client     *http.Client
	sent       int
}

// startInProcess starts a sidecar by a configuration text, with the address of discovery in the
// environment as well.
func startInProcess(t *testing.T, text, discoveryAddr string) *inProcessSidecar {
	t.Helper()
	s := &inProcessSidecar{
		t:          t,
		configPath: filepath.Join(t.TempDir(), "config.json"),
		terminate:  make(chan time.Time, 1),
		hangup:     make(chan os.Signal, 1),
		exited:     make(chan error, 1),
		client:     &http.Client{Timeout: patience, Transport: &http.Transport{}},
	}
	s.writeConfig(text)
	t.Setenv("BALANCER_CONFIG", s.configPath)
	t.Setenv("BALANCER_DISCOVERY", discoveryAddr)
	t.Setenv("BALANCER_LISTEN", "")
	config, err := loadConfig(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listen = listener.Addr().String()
	r := &resources{config: config, listeners: []*net.TCPListener{listener.(*net.TCPListener)}}
	r.Limit(config.fullQuota())
	go func() { s.exited <- run(config, r, nil, nil, signals{terminate: s.terminate, reload: s.hangup}) }()
	return s
}

func (s *inProcessSidecar) writeConfig(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// reload writes another configuration and signals it.
func (s *inProcessSidecar) reload(text string) {
	s.t.Helper()
	s.writeConfig(text)
	s.hangup <- syscall.SIGHUP
}

// send makes one request and returns the status and body of its answer, or 0 and the error's
// text.
func (s *inProcessSidecar) send(method, path string) (status int, body string) {
	s.sent++
	var requestBody io.Reader
	if method == http.MethodPost {
		requestBody = strings.NewReader("card")
	}
	request, err := http.NewRequest(method, "http://"+s.listen+path, requestBody)
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Req-Id", fmt.Sprint(s.sent))
	resp, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// configHash returns the hash of the configuration in force, as the health response has it.
func (s *inProcessSidecar) configHash() string {
	resp, err := s.client.Get("http://" + s.listen + "/_health")
	if err != nil {
		return err.Error()
	}
	resp.Body.Close()
	return resp.Header.Get(healthConfigHash)
}

func sha256Hex(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
