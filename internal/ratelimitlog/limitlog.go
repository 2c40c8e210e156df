// Package ratelimitlog is a log for a process under load: of lines with the same
// message only one a second is written, with the number of those left out.
package ratelimitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const every = time.Second

// New returns a logger that writes to w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}),
		seen:    &seen{by: make(map[string]*count)},
	})
}

// handler leaves out what was said within the second. Messages are constants,
// so that the map of them stays small.
type handler struct {
	slog.Handler
	seen *seen
}

type seen struct {
	mu sync.Mutex
	by map[string]*count
}

type count struct {
	last time.Time
	left int
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.seen.mu.Lock()
	c := h.seen.by[r.Message]
	if c == nil {
		c = new(count)
		h.seen.by[r.Message] = c
	}
	if r.Time.Sub(c.last) < every {
		c.left++
		h.seen.mu.Unlock()
		return nil
	}
	if c.left > 0 {
		r.AddAttrs(slog.Int("left_out", c.left))
	}
	c.last, c.left = r.Time, 0
	h.seen.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.seen}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.seen}
}
