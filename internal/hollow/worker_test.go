package hollow

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/pki"
)

// A worker ends when its input does, even if it can't connect to any relay, and leaks no goroutine.
func TestWorkerEndsWithInput(t *testing.T) {
	defer goleak.VerifyNone(t)
	folder := t.TempDir()
	if err := pki.Init(folder, time.Now()); err != nil {
		t.Fatalf("create the CA: %v", err)
	}
	config := WorkerConfig{Authority: folder, Serial: 1, Hosts: Layout(5),
		Relays: []distribution.Relay{{Name: "relay", Address: "tls:127.0.0.1:1"}}}
	requestReader, requests := io.Pipe()
	replyReader, replies := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- RunWorker(config, requestReader, replies) }()
	for _, command := range []Command{Start, Measure} {
		if err := json.NewEncoder(requests).Encode(Request{Command: command}); err != nil {
			t.Fatalf("send %s: %v", command, err)
		}
		var reply Reply
		if err := json.NewDecoder(replyReader).Decode(&reply); err != nil {
			t.Fatalf("read the reply to %s: %v", command, err)
		}
		if reply.Connected != 0 || reply.Usage.Resident == 0 {
			t.Errorf("reply to %s = %+v, want no connected subscriber and a resident size", command, reply)
		}
	}
	requests.Close()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("RunWorker() = %v after the end of its input, want nil", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("RunWorker still runs 10 s after the end of its input")
	}
}
