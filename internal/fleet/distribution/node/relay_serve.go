package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// Get returns the resources whose name has a prefix, in pages ordered by name.
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

// maxStatusHosts is the maximum number of hosts listed in one response.
const maxStatusHosts = 500

// Status counts hosts by their progress towards a revision: all hosts at the writer, and the relay's
// own subscribers at other relays.
func (r *Relay) Status(in *api.SettingsStatusIn) *api.SettingsStatusOut {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &api.SettingsStatusOut{Status: r.registry.Status(in.Revision, min(max(in.Limit, 0), maxStatusHosts)),
		Writer: r.writer, Relay: r.config.Name, Complete: r.writer.Writer == r.config.Name}
}

// Watch responds to a subscriber's poll with the changes after its revision as soon as there are
// any, or with an empty update once its wait has passed. The first poll of a connection contains the
// subscriber's interest and state, and opens its session, which ends with ctx, the context of the
// connection. Errors are those of Registry.Join and State.Read, and *distribution.InvalidError if the
// session is not open.
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
	if !ok || !r.registry.RecordPoll(now, in.Host, in.Session) {
		return nil, &distribution.InvalidError{What: "session", Name: in.Host, Reason: "it is not open at this relay; reconnect"}
	}
	query := distribution.Query{After: in.After, Began: in.SnapshotRevision, Bytes: pageBytes, Interest: &interest}
	if update, err := r.state.Read(query); err == nil {
		r.registry.RecordRead(in.Host, in.Session, &update) // also if empty: an empty update is not returned before the wait ends
	}
	update, err := r.waitForUpdate(ctx, in.Wait, query)
	if err != nil {
		return nil, err
	}
	r.registry.RecordRead(in.Host, in.Session, &update)
	return &api.SettingsWatchOut{Update: update, Writer: r.writer}, nil
}

// waitForUpdate returns a query's update as soon as it is not empty, and otherwise the empty update
// after the wait. Where the query is ahead of the relay's copy it waits for the copy to catch up. The
// caller holds mu, which is released during the wait.
func (r *Relay) waitForUpdate(ctx context.Context, wait time.Duration, query distribution.Query) (distribution.Update, error) {
	timer := time.NewTimer(min(max(wait, 0), 2*watchWait))
	defer timer.Stop()
	for {
		update, err := r.state.Read(query)
		ahead := errors.As(err, new(*distribution.AheadError))
		if err != nil && !ahead || err == nil && !update.Empty() {
			return update, err
		}
		changed, ended := r.changed, false
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		case <-r.ctx.Done():
			ended = true
		}
		r.mu.Lock()
		if ended {
			return r.state.Read(query)
		}
	}
}

// leave records that a subscriber's connection has ended.
func (r *Relay) leave(host string, session int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Leave(time.Now(), host, session)
}

// Ack receives a subscriber's report on its own progress.
func (r *Relay) Ack(in *api.SettingsAckIn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.RecordPoll(time.Now(), in.Host, in.Session)
	r.registry.Acknowledge(in.Host, in.Session, in.State)
}

// Follow responds to the poll of another relay that copies the log. Relays other than the writer
// return a *distribution.NotWriterError.
func (r *Relay) Follow(ctx context.Context, in *api.SettingsFollowIn) (*api.SettingsWatchOut, error) {
	if _, err := r.LearnWriter(api.SettingsWriter{Writer: in.Writer, Epoch: in.Epoch}); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer.Writer != r.config.Name {
		return nil, &distribution.NotWriterError{Here: r.config.Name, Writer: r.writer.Writer, Epoch: r.writer.Epoch}
	}
	update, err := r.waitForUpdate(ctx, in.Wait, distribution.Query{After: in.After, Began: in.SnapshotRevision, Bytes: pageBytes})
	if err != nil {
		return nil, err
	}
	return &api.SettingsWatchOut{Update: update, Writer: r.writer}, nil
}

// Report receives another relay's reports on its subscribers. Relays other than the writer return a
// *distribution.NotWriterError, and a writer of an earlier epoch than the caller knows returns a
// *distribution.FencedError.
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
	last, exists := r.reported[in.Relay]
	again := !exists || last.process != in.Process
	if again {
		r.registry.RelayLost(now, in.Relay) // an earlier process's reports are obsolete
	}
	r.reported[in.Relay] = relayReport{process: in.Process, at: now}
	r.registry.MergeReports(in.Relay, in.Position, in.Hosts)
	return &api.SettingsReportOut{Again: again}, nil
}
