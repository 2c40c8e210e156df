// Package ratelimitlog limits a log under load: of records with the same message it writes at
// most one a second, with the number of records suppressed since the previous one.
package ratelimitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// interval is the shortest time between two records with the same message.
const interval = time.Second

// New returns a logger that writes records of the given level or above to w as text.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}),
		history: &history{byMessage: make(map[string]*messageState)},
	})
}

// handler suppresses repeated messages. It remembers every distinct message, so messages must be
// constants of the program and not built at run time.
type handler struct {
	slog.Handler
	history *history
}

// history holds the messages of a logger. Loggers derived from it by With and WithGroup share it.
type history struct {
	mu        sync.Mutex
	byMessage map[string]*messageState
}

// messageState is the state of one message.
type messageState struct {
	lastWritten time.Time // when a record was last written
	suppressed  int       // number of records suppressed since then
}

// Handle implements slog.Handler. It writes r or counts it as suppressed.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.history.mu.Lock()
	state := h.history.byMessage[r.Message]
	if state == nil {
		state = new(messageState)
		h.history.byMessage[r.Message] = state
	}
	if r.Time.Sub(state.lastWritten) < interval {
		state.suppressed++
		h.history.mu.Unlock()
		return nil
	}
	if state.suppressed > 0 {
		r.AddAttrs(slog.Int("left_out", state.suppressed))
	}
	state.lastWritten, state.suppressed = r.Time, 0
	h.history.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.history}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.history}
}
