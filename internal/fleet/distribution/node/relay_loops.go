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

// Times of a relay's loops.
const (
	// retryInterval is the mean interval between attempts to reach the writer.
	retryInterval = time.Second
	// reportInterval is the interval between reports of changes to the writer, and
	// idleReportInterval the interval between heartbeats without changes.
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

// exchangeWriter sends this relay's knowledge of the writer to another relay and learns the
// other's.
func (r *Relay) exchangeWriter(conn Conn) error {
	var received api.SettingsWriter
	if err := call(r.ctx, conn, callTimeout, api.SettingsWriting, r.Writer(), &received); err != nil {
		return err
	}
	_, err := r.Learn(received)
	return err
}

// queryRandomRelay queries a relay drawn at random for the writer. The known writer may be lost,
// and another relay may have been promoted while this one was disconnected.
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
		return &distribution.InvalidError{What: "writer", Name: writer.Writer, Reason: "no relay of this configuration"}
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

func (r *Relay) followOnce(conn Conn, reader *distribution.Reader, writer api.SettingsWriter) error {
	r.mu.Lock()
	query := reader.Query(r.state.Revision(), nil)
	r.mu.Unlock()
	in := &api.SettingsFollowIn{Relay: r.config.Name, Epoch: writer.Epoch, Writer: writer.Writer, After: query.After, Began: query.Began, Wait: watchWait}
	var out api.SettingsWatchOut
	if err := call(r.ctx, conn, watchWait+watchSlack, api.SettingsFollow, in, &out); err != nil {
		return err
	}
	complete, err := reader.Take(out.Update)
	if err != nil || complete == nil {
		return err
	}
	return r.applyUpdate(*complete)
}

// applyUpdate applies an update from the writer to the copy.
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
	step, err := r.state.Follow(update)
	r.mu.Unlock()
	if err != nil || step == nil {
		return err
	}
	return r.apply(step)
}

// reportUntilClosed reports this relay's subscribers to the writer until the relay is closed.
func (r *Relay) reportUntilClosed() {
	var conn Conn
	var to api.SettingsWriter
	var last time.Time
	drop := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer drop()
	for sleep(r.ctx, reportInterval) {
		writer := r.Writer()
		if writer.Writer == r.config.Name || writer != to {
			drop()
			to = writer
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
		if err := r.reportOnce(conn, writer, &last); err != nil {
			slog.Debug("the settings' writer did not accept a report", "relay", r.config.Name, "err", err)
			drop()
			sleep(r.ctx, jittered(retryInterval))
		}
	}
}

func (r *Relay) reportAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.ReportAll()
}

// reportOnce sends what has changed since the last report, in as many messages as needed.
func (r *Relay) reportOnce(conn Conn, writer api.SettingsWriter, last *time.Time) error {
	for all := false; !all; {
		in := &api.SettingsReportIn{Relay: r.config.Name, Epoch: writer.Epoch, Process: r.process}
		r.mu.Lock()
		moved := r.registry.Changed()
		in.Hosts, all = r.registry.Reports(maxReportHosts)
		if all {
			in.Position = r.registry.Position()
		}
		r.mu.Unlock()
		if len(in.Hosts) == 0 && !moved && time.Since(*last) < idleReportInterval {
			return nil
		}
		var out api.SettingsReportOut
		if err := call(r.ctx, conn, callTimeout, api.SettingsReport, in, &out); err != nil {
			r.reportAll()
			return err
		}
		*last = time.Now()
		if out.Again {
			r.reportAll()
			all = false
		}
	}
	return nil
}

// runMaintenance expires silent subscribers and relays until the relay is closed.
func (r *Relay) runMaintenance() {
	for sleep(r.ctx, maintenanceInterval) {
		now := time.Now()
		r.mu.Lock()
		r.registry.Sweep(now, subscriberSilenceTimeout)
		r.registry.Forget(now)
		for name, reported := range r.reported {
			if now.Sub(reported.at) > relaySilenceTimeout {
				r.registry.Lost(now, name)
				delete(r.reported, name)
			}
		}
		r.mu.Unlock()
	}
}

// announceUntilClosed announces the writer to other relays until the relay is closed. It dials, so
// it runs apart from runMaintenance, which must not be delayed.
func (r *Relay) announceUntilClosed() {
	for sleep(r.ctx, maintenanceInterval) {
		r.announce()
	}
}

// announce notifies each other relay once that this one is the writer, if it was promoted.
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
			slog.Warn("a relay did not accept the new writer", "relay", other.Name, "err", err)
		}
	}
}
