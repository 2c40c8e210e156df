package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/store"
)

// RelayConfig is what a Relay is told.
type RelayConfig struct {
	Name        string // its own, one of Relays
	Relays      []distribution.Relay
	Writer      string // who writes in the first epoch
	Subscribers int    // at once, at most
	Limits      distribution.Limits
	Dial        Dialer
	Store       Store
}

// writerKey is the key of the row that holds the highest epoch and its writer.
const writerKey = "writer"

// Relay serves a copy of the settings, and is the writer where the highest epoch that it knows
// names it. Close ends it.
type Relay struct {
	config     RelayConfig
	process    string // new with each start
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// writing is held over a change of the copy, from its proposal until it is made; mu is
	// taken within it.
	writing        sync.Mutex
	storeUncertain bool // what the store holds is not known; guarded by writing

	mu       sync.Mutex
	state    *distribution.State
	registry *distribution.Registry
	writer   api.SettingsWriter
	changed  chan struct{}            // closed at the next change of state or writer
	reported map[string]relayReported // by relay; at the writer
	notified map[string]bool          // relays that know of this epoch; at the writer
}

// relayReported is the last report of a relay.
type relayReported struct {
	process string
	at      time.Time
}

// NewRelay restores a relay from its store's rows and starts it.
func NewRelay(config RelayConfig, process string, rows []distribution.Entry) (*Relay, error) {
	state, err := distribution.Restore(config.Limits, rows)
	if err != nil {
		return nil, err
	}
	r := &Relay{config: config, process: process, state: state, registry: distribution.NewRegistry(config.Name, config.Subscribers),
		writer: api.SettingsWriter{Writer: config.Writer, Epoch: 1}, changed: make(chan struct{}),
		reported: make(map[string]relayReported), notified: make(map[string]bool)}
	for _, row := range rows {
		if row.Key != writerKey {
			continue
		}
		if err := json.Unmarshal(row.Value, &r.writer); err != nil {
			return nil, fmt.Errorf("settings: row %q: %w", row.Key, err)
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

// Close ends the relay. Nothing of it runs when it returns.
func (r *Relay) Close() {
	r.cancel()
	r.goroutines.Wait()
}

// Writer is the highest epoch that is known, and who writes in it.
func (r *Relay) Writer() api.SettingsWriter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writer
}

func (r *Relay) isWriter() bool { return r.Writer().Writer == r.config.Name }

// relay is one of the configured relays; false if there is none of that name.
func (r *Relay) relay(name string) (distribution.Relay, bool) {
	for _, other := range r.config.Relays {
		if other.Name == name {
			return other, true
		}
	}
	return distribution.Relay{}, false
}

// notifyWaiters wakes those who wait; the lock is held.
func (r *Relay) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// commit writes rows to disk. After an error it is not known what the store holds.
func (r *Relay) commit(batch distribution.Batch) error {
	ctx, cancel := context.WithTimeout(r.ctx, commitTimeout)
	defer cancel()
	err := r.config.Store.Commit(ctx, &store.Change{Settings: batch.Put, DropSettings: batch.Drop})
	if err != nil {
		r.storeUncertain = true
		return api.Errorf(api.Unwritable, "relay %s: the settings can't be written: %v", r.config.Name, err)
	}
	return nil
}

// reloadIfUncertain reads the store again after a write of unknown outcome, so that what it holds and
// what is served are the same: a revision never gets a second content. writing is held.
func (r *Relay) reloadIfUncertain() error {
	if !r.storeUncertain {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, commitTimeout)
	defer cancel()
	snapshot, err := r.config.Store.Load(ctx)
	if err != nil {
		return api.Errorf(api.Unwritable, "relay %s: the settings can't be read again: %v", r.config.Name, err)
	}
	state, err := distribution.Restore(r.config.Limits, snapshot.Settings)
	if err != nil {
		return err
	}
	r.storeUncertain = false
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.registry.Advance(state)
	r.notifyWaiters()
	return nil
}

// apply carries a step out that state has worked out: to disk, then into memory.
func (r *Relay) apply(step *distribution.Step) error {
	if err := r.commit(step.Batch()); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Make(step)
	r.registry.Advance(r.state)
	r.notifyWaiters()
	return nil
}

// Put makes a change, at the writer only. Once it returns without an error the change is on
// the writer's disk. Errors are those of State.Propose, *distribution.NotWriterError, and
// *api.Error with the code api.Unwritable.
func (r *Relay) Put(put distribution.Put) (*api.SettingsPutOut, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	if err := r.reloadIfUncertain(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	writer := r.writer
	if writer.Writer != r.config.Name {
		r.mu.Unlock()
		return nil, &distribution.NotWriterError{Here: r.config.Name, Writer: writer.Writer, Epoch: writer.Epoch}
	}
	resource, step, err := r.state.Propose(time.Now(), writer.Epoch, put)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if step == nil {
		return &api.SettingsPutOut{Resource: resource}, nil
	}
	if err := r.apply(step); err != nil {
		return nil, err
	}
	return &api.SettingsPutOut{Resource: resource, Changed: true}, nil
}

// nextEpoch is the first epoch after the known one that is this relay's. The epochs above the
// first are shared out among the relays by the order of their names: two that are promoted
// while they know nothing of each other never write in the same epoch.
func (r *Relay) nextEpoch(known int64) int64 {
	var share int64
	for _, other := range r.config.Relays {
		if other.Name < r.config.Name {
			share++
		}
	}
	all := int64(len(r.config.Relays))
	next := known + 1
	return next + (share-next%all+all)%all
}

// Promote makes this relay the writer, in an epoch above all that it knows. It goes on from
// its copy; what only the earlier writer has is void.
func (r *Relay) Promote() (*api.SettingsWriter, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	if err := r.reloadIfUncertain(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	next := api.SettingsWriter{Writer: r.config.Name, Epoch: r.nextEpoch(r.writer.Epoch)}
	step := r.state.Promote(next.Epoch)
	r.mu.Unlock()
	batch := step.Batch()
	batch.Put = append(batch.Put, writerEntry(next))
	if err := r.commit(batch); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer = next
	r.notified = make(map[string]bool)
	r.reported = make(map[string]relayReported)
	r.state.Make(step)
	r.registry.Advance(r.state)
	r.notifyWaiters()
	slog.Warn("this relay is the settings' writer now", "relay", r.config.Name, "epoch", next.Epoch, "revision", r.state.Revision().String())
	return &next, nil
}

func writerEntry(writer api.SettingsWriter) distribution.Entry {
	value, err := json.Marshal(writer)
	if err != nil {
		panic(err) // a string and a number
	}
	return distribution.Entry{Key: writerKey, Value: value}
}

// Learn takes what another relay knows of the writer, and returns what is known here then.
func (r *Relay) Learn(received api.SettingsWriter) (*api.SettingsWriter, error) {
	if received.Epoch <= r.Writer().Epoch {
		known := r.Writer()
		return &known, nil
	}
	if _, known := r.relay(received.Writer); !known {
		return nil, &distribution.InvalidError{What: "writer", Name: received.Writer, Reason: "no relay of this configuration"}
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

// Get returns resources by name.
func (r *Relay) Get(in *api.SettingsGetIn) *api.SettingsGetOut {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &api.SettingsGetOut{Revision: r.state.Revision()}
	bytes := 0
	for _, resource := range r.state.Resources() {
		if !strings.HasPrefix(resource.Name, in.Prefix) || in.After != "" && resource.Name <= in.After {
			continue
		}
		bytes += len(resource.Content) + 1000
		if bytes > pageBytes && len(out.Resources) > 0 {
			out.More = true
			break
		}
		out.Resources = append(out.Resources, resource)
	}
	return out
}

// maxStatusHosts is how many hosts one answer names.
const maxStatusHosts = 500

// Status says how far a revision is: at the writer of all hosts, elsewhere of those that
// subscribe here.
func (r *Relay) Status(in *api.SettingsStatusIn) *api.SettingsStatusOut {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &api.SettingsStatusOut{Status: r.registry.Status(in.Revision, min(max(in.Limit, 0), maxStatusHosts)),
		Writer: r.writer, Relay: r.config.Name, Complete: r.writer.Writer == r.config.Name}
}

// Watch answers a subscriber with what is after the revision that it holds, once there is
// something, or with nothing new after its wait. ctx is the connection's.
func (r *Relay) Watch(ctx context.Context, in *api.SettingsWatchIn) (*api.SettingsWatchOut, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if in.Interest != nil && in.State != nil {
		if err := r.registry.Join(now, *in.Interest, in.Session, *in.State); err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { r.leave(in.Host, in.Session) })
	}
	interest, ok := r.registry.Interest(in.Host, in.Session)
	if !ok || !r.registry.Seen(now, in.Host, in.Session) {
		return nil, &distribution.InvalidError{What: "session", Name: in.Host, Reason: "it is not open here; connect anew"}
	}
	query := distribution.Query{After: in.After, Began: in.Began, Bytes: pageBytes, Interest: &interest}
	if update, err := r.state.Read(query); err == nil {
		r.registry.Acknowledged(in.Host, in.Session, &update) // also that nothing is new, before the wait
	}
	update, err := r.waitForUpdate(ctx, in.Wait, query)
	if err != nil {
		return nil, err
	}
	r.registry.Acknowledged(in.Host, in.Session, &update)
	return &api.SettingsWatchOut{Update: update, Writer: r.writer}, nil
}

// waitForUpdate waits until the state has an answer to a query that brings something; the lock is
// held but while it waits.
func (r *Relay) waitForUpdate(ctx context.Context, wait time.Duration, query distribution.Query) (distribution.Update, error) {
	timer := time.NewTimer(min(max(wait, 0), 2*watchWait))
	defer timer.Stop()
	for {
		update, err := r.state.Read(query)
		ahead := errors.As(err, new(*distribution.AheadError))
		if err != nil && !ahead || err == nil && !update.Empty() {
			return update, err
		}
		changed, over := r.changed, false
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		case <-r.ctx.Done():
			over = true
		}
		r.mu.Lock()
		if over {
			return r.state.Read(query)
		}
	}
}

func (r *Relay) leave(host string, session int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Leave(time.Now(), host, session)
}

// Ack takes a subscriber's word on how far it is.
func (r *Relay) Ack(in *api.SettingsAckIn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Seen(time.Now(), in.Host, in.Session)
	r.registry.Acknowledge(in.Host, in.Session, in.State)
}

// Follow answers another relay that copies the log, at the writer only.
func (r *Relay) Follow(ctx context.Context, in *api.SettingsFollowIn) (*api.SettingsWatchOut, error) {
	if _, err := r.Learn(api.SettingsWriter{Writer: in.Writer, Epoch: in.Epoch}); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer.Writer != r.config.Name {
		return nil, &distribution.NotWriterError{Here: r.config.Name, Writer: r.writer.Writer, Epoch: r.writer.Epoch}
	}
	update, err := r.waitForUpdate(ctx, in.Wait, distribution.Query{After: in.After, Began: in.Began, Bytes: pageBytes})
	if err != nil {
		return nil, err
	}
	return &api.SettingsWatchOut{Update: update, Writer: r.writer}, nil
}

// Report takes another relay's word on its subscribers, at the writer only.
func (r *Relay) Report(in *api.SettingsReportIn) (*api.SettingsReportOut, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer.Writer != r.config.Name {
		return nil, &distribution.NotWriterError{Here: r.config.Name, Writer: r.writer.Writer, Epoch: r.writer.Epoch}
	}
	if in.Epoch > r.writer.Epoch {
		return nil, &distribution.FencedError{Epoch: r.writer.Epoch, Known: in.Epoch}
	}
	now := time.Now()
	known, there := r.reported[in.Relay]
	again := !there || known.process != in.Process
	if again {
		r.registry.Lost(now, in.Relay) // what an earlier process had says nothing of this one
	}
	r.reported[in.Relay] = relayReported{process: in.Process, at: now}
	r.registry.Merge(in.Relay, in.Position, in.Hosts)
	return &api.SettingsReportOut{Again: again}, nil
}
