package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// Intervals, timeouts and sizes of a relay's loops.
const (
	// retryInterval is the mean interval between attempts to reach the writer.
	retryInterval = time.Second
	// reportInterval is the interval at which changes are reported to the writer, and
	// idleReportInterval the interval between reports without changes, which serve as heartbeats.
	reportInterval     = 250 * time.Millisecond
	idleReportInterval = 3 * time.Second
	maxReportHosts     = 1000 // hosts in one message
	// relaySilenceTimeout is the time without reports after which a relay counts as lost.
	relaySilenceTimeout = 12 * time.Second
	// subscriberSilenceTimeout is the time without polls after which a subscriber counts as
	// absent.
	subscriberSilenceTimeout = 2 * (watchWait + watchSlack)
	maintenanceInterval      = time.Second
)

// followUntilClosed copies the current writer's log until the relay is closed.
func (r *Relay) followUntilClosed() {
	logged := false
	for r.ctx.Err() == nil {
		if r.isWriter() {
			r.waitForChange()
			continue
		}
		err := r.followWriter()
		if err != nil && !logged && r.ctx.Err() == nil {
			slog.Warn("the settings' writer can't be followed; this relay continues to serve its copy", "relay", r.config.Name, "writer", r.Writer().Writer, "err", err)
		}
		logged = err != nil
		if !sleep(r.ctx, jittered(retryInterval)) {
			return
		}
		r.queryRandomRelay()
	}
}

// waitForChange waits until the state or the known writer changes, or the relay is closed.
func (r *Relay) waitForChange() {
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	select {
	case <-changed:
	case <-r.ctx.Done():
	}
}

// dial connects to a relay.
func (r *Relay) dial(relay distribution.Relay) (Conn, error) {
	ctx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	defer cancel()
	return r.config.Dial(ctx, relay)
}

// exchangeWriter sends the known writer and epoch to another relay, and learns those that the other
// relay knows.
func (r *Relay) exchangeWriter(conn Conn) error {
	var received api.SettingsWriter
	if err := call(r.ctx, conn, callTimeout, api.SettingsExchangeWriter, r.Writer(), &received); err != nil {
		return err
	}
	_, err := r.LearnWriter(received)
	return err
}

// queryRandomRelay asks a relay chosen at random for the current writer. The known writer may be
// lost, and another relay may have been promoted while this one was disconnected.
func (r *Relay) queryRandomRelay() {
	other := r.config.Relays[rand.IntN(len(r.config.Relays))]
	if other.Name == r.config.Name {
		return
	}
	conn, err := r.dial(other)
	if err != nil {
		return
	}
	defer conn.Close()
	if err := r.exchangeWriter(conn); err != nil {
		slog.Debug("a relay did not report the writer", "relay", other.Name, "err", err)
	}
}

// followWriter copies the writer's log until an error occurs or another relay becomes the writer.
func (r *Relay) followWriter() error {
	writer := r.Writer()
	relay, ok := r.relay(writer.Writer)
	if !ok {
		return &distribution.InvalidError{What: "writer", Name: writer.Writer, Reason: "not a relay of this configuration"}
	}
	conn, err := r.dial(relay)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := r.exchangeWriter(conn); err != nil {
		return err
	}
	reader := distribution.NewReader(r.config.Limits)
	for r.Writer() == writer {
		if err := r.followOnce(conn, reader, writer); err != nil {
			return err
		}
	}
	return nil
}

// followOnce requests one page from the writer, and applies the update once it is complete.
func (r *Relay) followOnce(conn Conn, reader *distribution.Reader, writer api.SettingsWriter) error {
	r.mu.Lock()
	query := reader.Query(r.state.Revision(), nil)
	r.mu.Unlock()
	in := &api.SettingsFollowIn{Relay: r.config.Name, Epoch: writer.Epoch, Writer: writer.Writer, After: query.After, SnapshotRevision: query.Began, Wait: watchWait}
	var out api.SettingsWatchOut
	if err := call(r.ctx, conn, watchWait+watchSlack, api.SettingsFollow, in, &out); err != nil {
		return err
	}
	complete, err := reader.AddPage(out.Update)
	if err != nil || complete == nil {
		return err
	}
	return r.applyUpdate(*complete)
}

// applyUpdate applies an update from the writer to the copy. The error for an update of an epoch below
// the known one is a *distribution.FencedError.
func (r *Relay) applyUpdate(update distribution.Update) error {
	r.writing.Lock()
	defer r.writing.Unlock()
	if err := r.reloadIfUncertain(); err != nil {
		return err
	}
	r.mu.Lock()
	if known := r.writer; update.Revision.Epoch < known.Epoch && !update.Revision.IsZero() {
		r.mu.Unlock()
		return &distribution.FencedError{Epoch: update.Revision.Epoch, Known: known.Epoch, Writer: known.Writer}
	}
	step, err := r.state.PrepareUpdate(update)
	r.mu.Unlock()
	if err != nil || step == nil {
		return err
	}
	return r.apply(step)
}

// reportUntilClosed reports this relay's subscribers to the writer until the relay is closed.
func (r *Relay) reportUntilClosed() {
	var conn Conn
	var reportedTo api.SettingsWriter
	var lastReport time.Time
	disconnect := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer disconnect()
	for sleep(r.ctx, reportInterval) {
		writer := r.Writer()
		if writer.Writer == r.config.Name || writer != reportedTo {
			disconnect()
			reportedTo = writer
		}
		relay, ok := r.relay(writer.Writer)
		if writer.Writer == r.config.Name || !ok {
			continue
		}
		if conn == nil {
			var err error
			if conn, err = r.dial(relay); err != nil {
				conn = nil
				sleep(r.ctx, jittered(retryInterval))
				continue
			}
			r.reportAll()
		}
		if err := r.reportOnce(conn, writer, &lastReport); err != nil {
			slog.Debug("a report to the settings' writer failed", "relay", r.config.Name, "err", err)
			disconnect()
			sleep(r.ctx, jittered(retryInterval))
		}
	}
}

// reportAll makes the next report include all subscribers.
func (r *Relay) reportAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.ReportAll()
}

// reportOnce sends the reports that have changed since the last call, in as many messages as needed,
// and records the time in lastReport. Without changes it sends only the heartbeat, when it is due.
func (r *Relay) reportOnce(conn Conn, writer api.SettingsWriter, lastReport *time.Time) error {
	for all := false; !all; {
		in := &api.SettingsReportIn{Relay: r.config.Name, Epoch: writer.Epoch, Process: r.process}
		r.mu.Lock()
		positionChanged := r.registry.PositionChanged()
		in.Hosts, all = r.registry.Reports(maxReportHosts)
		if all {
			in.Position = r.registry.Position()
		}
		r.mu.Unlock()
		if len(in.Hosts) == 0 && !positionChanged && time.Since(*lastReport) < idleReportInterval {
			return nil
		}
		var out api.SettingsReportOut
		if err := call(r.ctx, conn, callTimeout, api.SettingsReport, in, &out); err != nil {
			r.reportAll()
			return err
		}
		*lastReport = time.Now()
		if out.Again {
			r.reportAll()
			all = false
		}
	}
	return nil
}

// runMaintenance expires silent subscribers and relays, and forgets hosts that have been absent for
// long, until the relay is closed.
func (r *Relay) runMaintenance() {
	for sleep(r.ctx, maintenanceInterval) {
		now := time.Now()
		r.mu.Lock()
		r.registry.ExpireSilent(now, subscriberSilenceTimeout)
		r.registry.ForgetAbsent(now)
		for name, report := range r.reported {
			if now.Sub(report.at) > relaySilenceTimeout {
				r.registry.RelayLost(now, name)
				delete(r.reported, name)
			}
		}
		r.mu.Unlock()
	}
}

// announceUntilClosed announces the writer to other relays until the relay is closed. It runs apart
// from runMaintenance, which must not be delayed by a slow dial.
func (r *Relay) announceUntilClosed() {
	for sleep(r.ctx, maintenanceInterval) {
		r.announce()
	}
}

// announce notifies each other relay once that this relay is the writer, if it became the writer by
// promotion. Relays that can't be reached are notified by a later call.
func (r *Relay) announce() {
	for _, other := range r.config.Relays {
		r.mu.Lock()
		skip := r.writer.Writer != r.config.Name || r.writer.Epoch <= 1 || r.notified[other.Name] || other.Name == r.config.Name
		r.mu.Unlock()
		if skip {
			continue
		}
		conn, err := r.dial(other)
		if err != nil {
			continue
		}
		err = r.exchangeWriter(conn)
		conn.Close()
		if err == nil {
			r.mu.Lock()
			r.notified[other.Name] = true
			r.mu.Unlock()
		} else if !errors.Is(err, context.Canceled) {
			slog.Warn("a relay could not be notified of the new writer", "relay", other.Name, "err", err)
		}
	}
}
