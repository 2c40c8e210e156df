package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/store"
)

// commit writes entries to the store. After an error the store's contents are unknown. The caller
// holds writing.
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

// reloadIfUncertain reads the store again after a write of unknown outcome, so that the stored and
// the served settings agree, and no revision is used for two different contents. The caller holds
// writing.
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

// apply writes a prepared step to the store and then applies it in memory. The caller holds writing.
func (r *Relay) apply(step *distribution.Step) error {
	if err := r.commit(step.Batch()); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Apply(step)
	r.registry.Advance(r.state)
	r.notifyWaiters()
	return nil
}

// Put changes a resource. Only the writer accepts it. When Put returns without an error the change
// is on the writer's disk. Errors are those of State.Propose, *distribution.NotWriterError, and
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

// nextEpoch returns this relay's first epoch above the known one. Epochs above the first are assigned
// to the relays in turn, in the order of their names, so that two relays that are promoted without
// knowledge of each other never write in the same epoch.
func (r *Relay) nextEpoch(known int64) int64 {
	var position int64
	for _, other := range r.config.Relays {
		if other.Name < r.config.Name {
			position++
		}
	}
	relays := int64(len(r.config.Relays))
	next := known + 1
	return next + (position-next%relays+relays)%relays
}

// Promote makes this relay the writer, in an epoch above all that it knows. The log continues from
// the relay's copy, without the changes that only the earlier writer holds. The error is an *api.Error
// with the code api.Unwritable if the store fails.
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
	r.reported = make(map[string]relayReport)
	r.state.Apply(step)
	r.registry.Advance(r.state)
	r.notifyWaiters()
	slog.Warn("this relay is the settings' writer now", "relay", r.config.Name, "epoch", next.Epoch, "revision", r.state.Revision().String())
	return &next, nil
}

// writerEntry returns the entry that stores the known writer and epoch.
func writerEntry(writer api.SettingsWriter) distribution.Entry {
	value, err := json.Marshal(writer)
	if err != nil {
		panic(err) // a string and a number always encode
	}
	return distribution.Entry{Key: writerKey, Value: value}
}
