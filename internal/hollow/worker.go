package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"martendrum/internal/fleet/distribution"
)

// WorkerConfig is the configuration of a process of hollow subscribers.
type WorkerConfig struct {
	Authority string               `json:"authority"` // the folder of the CA
	Serial    int64                `json:"serial"`    // certificates' serial numbers begin here
	Hosts     []Host               `json:"hosts"`
	Relays    []distribution.Relay `json:"relays"`
	Coalesce  time.Duration        `json:"coalesce"`
	Accept    time.Duration        `json:"accept"`
}

// Command is a request to a worker.
type Command string

// Commands of a worker. It ends when its standard input does.
const (
	Start   Command = "start"   // all subscribers at once
	Measure Command = "measure" // Reply.Usage and Reply.Connected
	Collect Command = "collect" // also Reply.Accepted and Reply.Settled
)

// Request is a line that a worker reads. Each is answered by one Reply.
type Request struct {
	Command Command  `json:"command"`
	Changes []Change `json:"changes,omitempty"` // of Collect
}

// Change is a resource at a revision.
type Change struct {
	Name     string                `json:"name"`
	Revision distribution.Revision `json:"revision"`
}

// Reply is a line that a worker writes.
type Reply struct {
	Usage     Usage `json:"usage"`
	Connected int   `json:"connected"`
	// Accepted holds for each change of the request when instances accepted it, as Unix times
	// in microseconds.
	Accepted [][]int64 `json:"accepted,omitempty"`
	Settled  []int64   `json:"settled,omitempty"` // when each had the complete state first
}

// Worker holds the subscribers of one process.
type Worker struct {
	subscribers []*Subscriber
	started     bool
	wg          sync.WaitGroup

	mu       sync.Mutex
	accepted map[Change][]int64
	settled  []int64
}

// RunWorker answers requests until in ends. Nothing of it runs when it returns.
func RunWorker(cfg WorkerConfig, in io.Reader, out io.Writer) error {
	worker, err := newWorker(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer worker.wg.Wait()
	defer cancel()
	requests, replies := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var request Request
		if err := requests.Decode(&request); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow: request: %w", err)
		}
		reply, err := worker.answer(ctx, request)
		if err != nil {
			return err
		}
		if err := replies.Encode(reply); err != nil {
			return fmt.Errorf("hollow: reply: %w", err)
		}
	}
}

func newWorker(cfg WorkerConfig) (*Worker, error) {
	authority, err := LoadAuthority(cfg.Authority)
	if err != nil {
		return nil, err
	}
	worker := &Worker{accepted: make(map[Change][]int64)}
	for n, host := range cfg.Hosts {
		config, err := authority.Client(host.Name, cfg.Serial+int64(n), time.Now())
		if err != nil {
			return nil, err
		}
		worker.subscribers = append(worker.subscribers, NewSubscriber(SubscriberConfig{
			Host: host, Relays: cfg.Relays, TLS: config, Coalesce: cfg.Coalesce, Accept: cfg.Accept,
			Accepted: worker.noteAccepted, Settled: worker.noteSettled,
		}))
	}
	return worker, nil
}

func (w *Worker) noteAccepted(resource distribution.Resource, at time.Time) {
	change := Change{Name: resource.Name, Revision: resource.Revision}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted[change] = append(w.accepted[change], at.UnixMicro())
}

func (w *Worker) noteSettled(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = append(w.settled, at.UnixMicro())
}

func (w *Worker) answer(ctx context.Context, request Request) (*Reply, error) {
	if request.Command == Start && !w.started {
		w.started = true
		for _, subscriber := range w.subscribers {
			w.wg.Go(func() { subscriber.Run(ctx) })
		}
	}
	usage, err := ReadUsage(os.Getpid())
	if err != nil {
		return nil, err
	}
	reply := &Reply{Usage: usage}
	for _, subscriber := range w.subscribers {
		if subscriber.Connected() {
			reply.Connected++
		}
	}
	if request.Command == Collect {
		w.collect(request, reply)
	}
	return reply, nil
}

func (w *Worker) collect(request Request, reply *Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Accepted = make([][]int64, len(request.Changes))
	for n, change := range request.Changes {
		reply.Accepted[n] = w.accepted[change]
	}
	reply.Settled = w.settled
}
