package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	Name        string // this relay's name, one of Relays
	Relays      []distribution.Relay
	Writer      string // name of the writer of the first epoch
	Subscribers int    // maximum number of subscribers at a time
	Limits      distribution.Limits
	Dial        Dialer
	Store       Store
}

// writerKey is the key of the entry that holds the highest known epoch and its writer.
const writerKey = "writer"

// Relay serves a copy of the settings, and is the writer if it is named as the writer of the highest
// epoch that it knows. Its methods are safe for concurrent use. Close stops it.
type Relay struct {
	config     RelayConfig
	process    string // differs for each start of the process
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// writing serializes changes of the copy, from proposal to application. It is locked
	// before mu.
	writing        sync.Mutex
	storeUncertain bool // the store's contents are unknown; guarded by writing

	mu       sync.Mutex
	state    *distribution.State
	registry *distribution.Registry
	writer   api.SettingsWriter
	changed  chan struct{}          // closed at the next change of state or writer
	reported map[string]relayReport // by relay; used by the writer only
	notified map[string]bool        // relays that know of the promotion; used by the writer only
}

// relayReport identifies the last report of a relay.
type relayReport struct {
	process string // process of the relay that reported
	at      time.Time
}

// NewRelay restores a relay from its stored entries and starts it. process must differ for each start
// of the process.
func NewRelay(config RelayConfig, process string, entries []distribution.Entry) (*Relay, error) {
	state, err := distribution.Restore(config.Limits, entries)
	if err != nil {
		return nil, err
	}
	r := &Relay{config: config, process: process, state: state, registry: distribution.NewRegistry(config.Name, config.Subscribers),
		writer: api.SettingsWriter{Writer: config.Writer, Epoch: 1}, changed: make(chan struct{}),
		reported: make(map[string]relayReport), notified: make(map[string]bool)}
	for _, entry := range entries {
		if entry.Key != writerKey {
			continue
		}
		if err := json.Unmarshal(entry.Value, &r.writer); err != nil {
			return nil, fmt.Errorf("settings: entry %q: %w", entry.Key, err)
		}
	}
	r.registry.Advance(state)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.goroutines.Go(r.followUntilClosed)
	r.goroutines.Go(r.reportUntilClosed)
	r.goroutines.Go(r.runMaintenance)
	r.goroutines.Go(r.announceUntilClosed)
	return r, nil
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.goroutines.Wait()
}

// Writer returns the highest known epoch and its writer.
func (r *Relay) Writer() api.SettingsWriter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writer
}

// isWriter reports whether this relay is the writer as far as it knows.
func (r *Relay) isWriter() bool { return r.Writer().Writer == r.config.Name }

// relay returns a configured relay by name, and false if there is none.
func (r *Relay) relay(name string) (distribution.Relay, bool) {
	for _, other := range r.config.Relays {
		if other.Name == name {
			return other, true
		}
	}
	return distribution.Relay{}, false
}

// notifyWaiters wakes goroutines that wait for a change. The caller holds mu.
func (r *Relay) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// LearnWriter receives the writer and epoch that another relay knows. If the epoch is higher than this
// relay's it is stored and adopted; the error is a *distribution.InvalidError if the writer is not a
// configured relay. LearnWriter returns the writer and epoch that this relay then knows.
func (r *Relay) LearnWriter(received api.SettingsWriter) (*api.SettingsWriter, error) {
	if received.Epoch <= r.Writer().Epoch {
		known := r.Writer()
		return &known, nil
	}
	if _, known := r.relay(received.Writer); !known {
		return nil, &distribution.InvalidError{What: "writer", Name: received.Writer, Reason: "not a relay of this configuration"}
	}
	r.writing.Lock()
	defer r.writing.Unlock()
	if received.Epoch > r.Writer().Epoch {
		if err := r.commit(distribution.Batch{Put: []distribution.Entry{writerEntry(received)}}); err != nil {
			return nil, err
		}
		r.mu.Lock()
		if r.writer.Writer == r.config.Name {
			slog.Warn("another relay is the settings' writer now", "relay", r.config.Name, "writer", received.Writer, "epoch", received.Epoch)
		}
		r.writer = received
		r.registry.ReportAll()
		r.notifyWaiters()
		r.mu.Unlock()
	}
	known := r.Writer()
	return &known, nil
}
