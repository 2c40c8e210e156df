package main

import (
	"log/slog"

	"martendrum/internal/clock"
	"martendrum/internal/handover"
	"martendrum/internal/sidecar"
)

// snapshot returns what this process has learned in encoded form, for the next process; nil if it
// can't be encoded.
func snapshot(listen string, host *sidecar.Host) []byte {
	data, err := handover.EncodeSnapshot(handover.Snapshot{Listen: listen, SavedAt: clock.Wall().UnixNano(), Learned: host.Learned()})
	if err != nil {
		slog.Warn("learned state not encoded", "err", err)
		return nil
	}
	return data
}

// saveSnapshot stores what this process has learned, for a process that starts later.
func (p *sidecarProcess) saveSnapshot() {
	if err := p.place.SaveSnapshot(snapshot(p.config.listenAddr, p.resources.host)); err != nil {
		slog.Warn("learned state not stored", "err", err)
	}
}

// warmUp restores what the previous process had learned, from its hand-over or from the stored file,
// and reports whether there was any. An unusable snapshot is logged and ignored.
func (p *sidecarProcess) warmUp() bool {
	data, from := p.predecessor.Snapshot(), "the old process"
	if len(data) == 0 && p.place.Locked() {
		var err error
		if data, err = p.place.LoadSnapshot(); err != nil {
			slog.Warn("cold start", "err", err)
			return false
		}
		from = "a process that has ended"
	}
	if len(data) == 0 {
		return false
	}
	learned, age, err := handover.DecodeSnapshot(data, p.config.listenAddr, clock.Wall())
	if err != nil {
		slog.Warn("cold start", "err", err)
		return false
	}
	p.resources.host.Learn(learned, age)
	slog.Info("warm start", "from", from, "age", age, "servers", len(learned.Servers))
	return true
}
