package main

import (
	"log/slog"

	"martendrum/internal/clock"
	"martendrum/internal/handover"
	"martendrum/internal/sidecar"
)

// snapshot returns the learned state of host in encoded form, for the next process of the sidecar
// at the address listen. If the state can't be encoded, snapshot logs that and returns nil.
func snapshot(listen string, host *sidecar.Host) []byte {
	data, err := handover.EncodeSnapshot(handover.Snapshot{Listen: listen, SavedAt: clock.Wall().UnixNano(), Learned: host.LearnedState()})
	if err != nil {
		slog.Warn("learned state not encoded", "err", err)
		return nil
	}
	return data
}

// saveSnapshot stores the learned state of this process in a file, for a process that starts later.
func (p *sidecarProcess) saveSnapshot() {
	if err := p.rendezvous.SaveSnapshot(snapshot(p.config.listenAddr, p.resources.host)); err != nil {
		slog.Warn("learned state not stored", "err", err)
	}
}

// restoreSnapshot restores the learned state of the previous process, from its hand-over or else
// from the stored file if this process holds the lock of the rendezvous, and reports whether it
// restored any. An unusable snapshot is logged and ignored.
func (p *sidecarProcess) restoreSnapshot() bool {
	data, from := p.predecessor.Snapshot(), "the running predecessor"
	if len(data) == 0 && p.rendezvous.Locked() {
		var err error
		if data, err = p.rendezvous.LoadSnapshot(); err != nil {
			slog.Warn("cold start", "err", err)
			return false
		}
		from = "the stored snapshot"
	}
	if len(data) == 0 {
		return false
	}
	learned, age, err := handover.DecodeSnapshot(data, p.config.listenAddr, clock.Wall())
	if err != nil {
		slog.Warn("cold start", "err", err)
		return false
	}
	p.resources.host.RestoreLearnedState(learned, age)
	slog.Info("warm start", "from", from, "age", age, "servers", len(learned.Servers))
	return true
}
