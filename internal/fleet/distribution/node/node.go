// Package node runs the distribution of settings over connections. It owns a Relay, which serves
// a copy of the log or, as the writer, the log itself, and a Subscriber, which polls a relay. A
// change is served only after it was committed to the Store. The package dials, waits, writes to the
// Store and sends reports; decisions about the log and its copies belong to package distribution.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/store"
)

// Conn is a connection to an agent; *msgpackrpc.Client implements it.
type Conn interface {
	// Call makes a call. The error is an *api.Error if the agent rejected the call.
	Call(ctx context.Context, method string, in, out any) error
	Close() error
}

// Dialer opens connections to relays.
type Dialer func(ctx context.Context, relay distribution.Relay) (Conn, error)

// Store stores the entries of a relay; store.Store implements it.
type Store interface {
	Load(ctx context.Context) (*store.Snapshot, error)
	Commit(ctx context.Context, change *store.Change) error
}

// Timeouts and sizes of both relays and subscribers.
const (
	// watchWait is how long a poll waits for a change. It bounds the time until a silent relay is
	// detected.
	watchWait = 4 * time.Second
	// watchSlack is the time that a poll may take beyond its wait.
	watchSlack    = 2 * time.Second
	dialTimeout   = 3 * time.Second
	callTimeout   = 3 * time.Second
	commitTimeout = 5 * time.Second
	// pageBytes is the approximate maximum size of one response.
	pageBytes = 512 << 10
)

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered returns a random duration between half and one and a half times d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// call makes one call with a timeout.
func call(ctx context.Context, conn Conn, limit time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return conn.Call(ctx, method, in, out)
}

// errorCode returns the wire code of an error of package distribution, "" for other errors.
func errorCode(err error) string {
	switch {
	case errors.As(err, new(*distribution.InvalidError)):
		return api.SettingsInvalid
	case errors.As(err, new(*distribution.ConflictError)):
		return api.SettingsConflict
	case errors.As(err, new(*distribution.LimitError)):
		return api.SettingsLimit
	case errors.As(err, new(*distribution.FencedError)):
		return api.SettingsFenced
	case errors.As(err, new(*distribution.AheadError)):
		return api.SettingsAhead
	case errors.As(err, new(*distribution.FullError)):
		return api.SettingsFull
	case errors.As(err, new(*distribution.NotWriterError)):
		return api.NotWriter
	}
	return ""
}

// WireError converts an error of package distribution to its form on the wire, an *api.Error
// with the advice in its message. It returns other errors unchanged.
func WireError(err error) error {
	if err == nil {
		return nil
	}
	advised, ok := errors.AsType[interface {
		error
		Advice() string
	}](err)
	if code := errorCode(err); ok && code != "" {
		return api.Errorf(code, "%v: %s", err, advised.Advice())
	}
	return err
}
