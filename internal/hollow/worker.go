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

// WorkerConfig configures a worker: a process that runs hollow subscribers, one for each host.
type WorkerConfig struct {
	Authority string               `json:"authority"` // folder of the CA
	Serial    int64                `json:"serial"`    // serial number of the first host's certificate; those of the others follow
	Hosts     []Host               `json:"hosts"`
	Relays    []distribution.Relay `json:"relays"`
	Coalesce  time.Duration        `json:"coalesce"` // as in SubscriberConfig
	Accept    time.Duration        `json:"accept"`   // as in SubscriberConfig
}

// Command is a request to a worker.
type Command string

// Commands of a worker. Each is answered by a Reply with Usage and Connected.
const (
	Start   Command = "start"   // starts all subscribers at once
	Measure Command = "measure" // only reads Usage and Connected
	Collect Command = "collect" // also reads Accepted and Settled
)

// Request is one line of JSON that a worker reads. The worker answers each with one Reply.
type Request struct {
	Command Command  `json:"command"`
	Changes []Change `json:"changes,omitempty"` // for Collect: the changes of Reply.Accepted
}

// Change identifies a published change: a resource and the revision at which it was changed.
type Change struct {
	Name     string                `json:"name"`
	Revision distribution.Revision `json:"revision"`
}

// Reply is one line of JSON that a worker writes.
type Reply struct {
	Usage     Usage `json:"usage"`     // of the worker's process
	Connected int   `json:"connected"` // subscribers with a connection to a relay
	// Accepted holds for each change of the request the times at which instances accepted it, as
	// Unix times in microseconds.
	Accepted [][]int64 `json:"accepted,omitempty"`
	// Settled holds the times at which subscribers first had all settings in force, as Unix times
	// in microseconds.
	Settled []int64 `json:"settled,omitempty"`
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

// RunWorker reads requests from in and writes replies to out until in ends. It returns an error if
// the CA can't be loaded, a request can't be decoded or a reply can't be written. When it returns,
// all subscribers have ended.
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
			return fmt.Errorf("hollow: decode request: %w", err)
		}
		reply, err := worker.answer(ctx, request)
		if err != nil {
			return err
		}
		if err := replies.Encode(reply); err != nil {
			return fmt.Errorf("hollow: write reply: %w", err)
		}
	}
}

// newWorker returns a Worker with a subscriber for each host; the command Start starts them.
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
			Accepted: worker.recordAccepted, Settled: worker.recordSettled,
		}))
	}
	return worker, nil
}

// recordAccepted implements SubscriberConfig.Accepted.
func (w *Worker) recordAccepted(resource distribution.Resource, at time.Time) {
	change := Change{Name: resource.Name, Revision: resource.Revision}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted[change] = append(w.accepted[change], at.UnixMicro())
}

// recordSettled implements SubscriberConfig.Settled.
func (w *Worker) recordSettled(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = append(w.settled, at.UnixMicro())
}

// answer carries out a request and returns its reply.
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

// collect adds the recorded times to a reply.
func (w *Worker) collect(request Request, reply *Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Accepted = make([][]int64, len(request.Changes))
	for n, change := range request.Changes {
		reply.Accepted[n] = w.accepted[change]
	}
	reply.Settled = w.settled
}
