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

// inProcessSidecar is a sidecar that runs in the process of the test.
type inProcessSidecar struct {
	t          *testing.T
	configPath string
	listen     string         // address for clients
	terminate  chan time.Time // in place of SIGTERM
	hangup     chan os.Signal // in place of SIGHUP
	exited     chan error     // receives the result of run
	client     *http.Client
	sent       int // number of requests
}

// startInProcess starts a sidecar with the given configuration text. BALANCER_DISCOVERY has the
// address of discovery, which overrides that of the text.
func startInProcess(t *testing.T, text, discoveryAddr string) *inProcessSidecar {
	t.Helper()
	s := &inProcessSidecar{
		t:          t,
		configPath: filepath.Join(t.TempDir(), "config.json"),
		terminate:  make(chan time.Time, 1),
		hangup:     make(chan os.Signal, 1),
		exited:     make(chan error, 1),
		client:     &http.Client{Timeout: eventTimeout, Transport: &http.Transport{}},
	}
	s.writeConfig(text)
	t.Setenv("BALANCER_CONFIG", s.configPath)
	t.Setenv("BALANCER_DISCOVERY", discoveryAddr)
	t.Setenv("BALANCER_LISTEN", "")
	config, err := loadConfig(os.Getenv)
	if err != nil {
		t.Fatalf("loading the configuration: %v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listen = listener.Addr().String()
	r := &resources{config: config, listeners: []*net.TCPListener{listener.(*net.TCPListener)}}
	r.Limit(config.fullQuota())
	go func() { s.exited <- run(config, r, nil, nil, signalChannels{terminate: s.terminate, reload: s.hangup}) }()
	return s
}

// writeConfig replaces the configuration file.
func (s *inProcessSidecar) writeConfig(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// reload writes another configuration file and signals the sidecar to reload it. It doesn't wait.
func (s *inProcessSidecar) reload(text string) {
	s.t.Helper()
	s.writeConfig(text)
	s.hangup <- syscall.SIGHUP
}

// send sends one request and returns the status and the body of the answer, or 0 and the text of the
// error.
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
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

// configHash returns the hash of the configuration in force from the health response, or the text
// of the error.
func (s *inProcessSidecar) configHash() string {
	resp, err := s.client.Get("http://" + s.listen + "/_health")
	if err != nil {
		return err.Error()
	}
	resp.Body.Close()
	return resp.Header.Get(healthConfigHash)
}

// sha256Hex returns the SHA-256 of text in hexadecimal, as configHash returns it.
func sha256Hex(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
