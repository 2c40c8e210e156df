package main

import (
	"log/slog"

	"martendrum/internal/clock"
	"martendrum/internal/handover"
	"martendrum/internal/sidecar"
)

// snapshot returns what this process has learned, for the next one; empty if it can't be
// encoded.
func snapshot(listen string, host *sidecar.Host) []byte {
	data, err := handover.Encode(handover.Snapshot{Listen: listen, Saved: clock.Wall().UnixNano(), Learned: host.Learned()})
	if err != nil {
		slog.Warn("learned state not encoded", "err", err)
		return nil
	}
	return data
}

// saveSnapshot stores what this process has learned, for one that starts later.
func (p *sidecarProcess) saveSnapshot() {
	if err := p.place.Save(snapshot(p.config.listenAddr, p.resources.host)); err != nil {
		slog.Warn("learned state not stored", "err", err)
	}
}

// warmUp takes over what the process before this one had learned, handed over or stored,
// and reports whether there was any. Nothing depends on it: what is unusable is ignored.
func (p *sidecarProcess) warmUp() bool {
	data, from := p.predecessor.Snapshot(), "the old process"
	if len(data) == 0 && p.place.Locked() {
		var err error
		if data, err = p.place.Saved(); err != nil {
			slog.Warn("cold start", "err", err)
			return false
		}
		from = "a process that has ended"
	}
	if len(data) == 0 {
		return false
	}
	learned, age, err := handover.Decode(data, p.config.listenAddr, clock.Wall())
	if err != nil {
		slog.Warn("cold start", "err", err)
		return false
	}
	p.resources.host.Learn(learned, age)
	slog.Info("warm start", "from", from, "age", age, "servers", len(learned.Servers))
	return true
}
