// Package ratelimitlog limits a log under load: of records with the same message it writes
// one a second, with the number of records that were suppressed since the last one.
package ratelimitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// interval is the least time between two records with the same message.
const interval = time.Second

// New returns a logger that writes records of at least a level to w as text.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}),
		history: &history{byMessage: make(map[string]*count)},
	})
}

// handler suppresses repeated messages. Messages are constants of the program, which bounds
// the map of them.
type handler struct {
	slog.Handler
	history *history
}

// history is shared by a logger and those derived from it.
type history struct {
	mu        sync.Mutex
	byMessage map[string]*count
}

type count struct {
	last       time.Time // when a record was written
	suppressed int       // since then
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.history.mu.Lock()
	c := h.history.byMessage[r.Message]
	if c == nil {
		c = new(count)
		h.history.byMessage[r.Message] = c
	}
	if r.Time.Sub(c.last) < interval {
		c.suppressed++
		h.history.mu.Unlock()
		return nil
	}
	if c.suppressed > 0 {
		r.AddAttrs(slog.Int("left_out", c.suppressed))
	}
	c.last, c.suppressed = r.Time, 0
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
