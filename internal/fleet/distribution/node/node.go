// Package node runs the settings' distribution over connections: a Relay that serves copies
// of the log, or the log itself where it is the writer, and a Subscriber that keeps asking a
// relay. What is decided stands in package distribution; this one dials, waits, writes to
// disk and reports back.
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

// Conn is a connection to an agent; *msgpackrpc.Client is one.
type Conn interface {
	// Call makes a call. Errors are *api.Error where the agent said no.
	Call(ctx context.Context, method string, in, out any) error
	Close() error
}

// Dialer opens connections to relays.
type Dialer func(ctx context.Context, relay distribution.Relay) (Conn, error)

// Store keeps rows; store.Store is one.
type Store interface {
	Load(ctx context.Context) (*store.Snapshot, error)
	Commit(ctx context.Context, change *store.Change) error
}

// Times of both sides.
const (
	// watchWait is how long a call waits for a change. It bounds how late a relay that says
	// nothing is given up.
	watchWait = 4 * time.Second
	// watchSlack is how much longer than its wait a call may take.
	watchSlack    = 2 * time.Second
	dialTimeout   = 3 * time.Second
	callTimeout   = 3 * time.Second
	commitTimeout = 5 * time.Second
	// pageBytes is the size of one answer, about.
	pageBytes = 512 << 10
)

// sleep waits, and says whether ctx still lives.
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

// jittered is d give or take half of it.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// call makes one call with a bound of its own.
func call(ctx context.Context, conn Conn, limit time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return conn.Call(ctx, method, in, out)
}

// codes are the errors of package distribution by their code on the wire.
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

// RejectionReason is an error as it goes over the wire, with its advice.
func RejectionReason(err error) error {
	if err == nil {
		return nil
	}
	advised, ok := errors.AsType[interface {
		error
		Advice() string
	}](err)
	if name := errorCode(err); ok && name != "" {
		return api.Errorf(name, "%v: %s", err, advised.Advice())
	}
	return err
}
