// Command simulator connects the decision module, package martendrum, to a simulator: it reads
// batches of events from standard input and writes the actions of its balancers to standard output.
// It owns the balancer instances and the server lists that they share, and decides nothing itself.
// Package wire defines the form of events and actions.
//
// On invalid input it exits with status 1 and one line on standard error, which names the input line.
// A panic of the decision module is reported as an action.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"martendrum"
	"martendrum/internal/settings"
	"martendrum/internal/wire"
)

func main() {
	// Requests are short-lived garbage on a small live heap. Collecting less often saves CPU,
	// and the memory limit bounds the heap of a large fleet.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(1)
	}
}

const (
	gcPercent       = 400     // as GOGC
	memoryLimit     = 4 << 30 // bytes
	inputBufferSize = 1 << 16 // bytes
	maxLists        = 16      // server lists are numbered from 0 to maxLists-1
)

// noBatch is the batch number that stands for "between batches".
const noBatch int64 = -1

// adapter is the state of the program: the instances by ID, and the numbered server lists, which
// all instances share.
type adapter struct {
	in        *bufio.Reader
	out       io.Writer
	longLine  []byte // buffer for a line that is longer than the buffer of in
	line      int    // number of the last line read, from 1
	decoder   wire.Decoder
	reply     wire.Reply
	instances map[string]*instance
	lists     [maxLists][]martendrum.Endpoint
	listed    [maxLists]bool // which of the lists have been received
	now       time.Duration  // simulated time of the current batch
	panicked  bool           // a panic has been reported; no more events are handled
}

// run reads and answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	a := &adapter{
		in:        bufio.NewReaderSize(in, inputBufferSize),
		out:       out,
		instances: make(map[string]*instance),
	}
	for {
		more, err := a.batch()
		if err != nil {
			return fmt.Errorf("line %d: %w", a.line, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine reads a line and returns it without its line end. The line is valid until the next call.
func (a *adapter) readLine() ([]byte, error) {
	line, err := a.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		a.longLine = append(a.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = a.in.ReadSlice('\n')
			a.longLine = append(a.longLine, line...)
		}
		line = a.longLine
	}
	if err != nil && (err != io.EOF || len(line) == 0) {
		return nil, err
	}
	a.line++
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, nil
}

// batch reads and answers one batch. It returns false if the input has ended before the batch.
func (a *adapter) batch() (more bool, err error) {
	var e wire.Event
	batch := noBatch
	for {
		line, err := a.readLine()
		switch {
		case err == io.EOF && batch < 0:
			return false, nil
		case err == io.EOF:
			return false, fmt.Errorf("input ended within batch %d", batch)
		case err != nil:
			return false, err
		case len(line) == 0:
			continue
		}
		if err := a.decoder.Decode(line, &e); err != nil {
			return false, err
		}
		switch {
		case e.Kind == wire.BatchStart && batch < 0:
			batch = e.Batch
			a.now = micros(e.TimeMicros)
			a.reply.Reset()
		case e.Kind == wire.BatchStart || batch < 0:
			return false, errors.New("message out of order: a batch begins with tick and ends with end")
		case e.Kind == wire.BatchEnd:
			a.reply.EndBatch(batch)
			_, err := a.out.Write(a.reply.Bytes())
			return true, err
		default:
			if err := a.handle(&e); err != nil {
				return false, err
			}
		}
	}
}

// handle handles one event, or passes it to its instance.
func (a *adapter) handle(e *wire.Event) error {
	if e.Kind == wire.ServerList || e.Kind == wire.ServersChanged {
		if e.ListNumber < 0 || e.ListNumber >= maxLists {
			return fmt.Errorf("unknown ledger number %d", e.ListNumber)
		}
	}
	switch e.Kind {
	case wire.ServerList:
		a.lists[e.ListNumber] = endpoints(e.Entries)
		a.listed[e.ListNumber] = true
		return nil
	case wire.InstanceStarted:
		return a.start(e)
	}
	target := a.instances[string(e.Instance)]
	if target == nil {
		return fmt.Errorf("event for unknown instance %q", e.Instance)
	}
	if e.Kind == wire.InstanceStopped {
		delete(a.instances, target.id)
		return nil
	}
	if e.Kind == wire.ServersChanged && string(e.Change) != wire.ChangeFailed && !a.listed[e.ListNumber] {
		return fmt.Errorf("unknown ledger number %d", e.ListNumber)
	}
	return a.guard(target.id, func() error { return target.handle(e, a) })
}

// guard calls f, which calls the decision module for the instance id, and reports a panic of f in the
// reply. After a panic has been reported, guard does nothing and returns nil.
func (a *adapter) guard(id string, f func() error) (err error) {
	if a.panicked {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			a.panicked = true
			a.reply.ReportPanic(id, fmt.Sprint(p))
		}
	}()
	return f()
}

// start creates an instance and its balancer from the event's settings and seed.
func (a *adapter) start(e *wire.Event) error {
	parsed, err := settings.Parse(e.Settings)
	if err != nil {
		return err
	}
	created := &instance{id: string(e.Instance), reply: &a.reply, settings: parsed}
	return a.guard(created.id, func() error {
		created.balancer, err = martendrum.New(parsed.Config, e.Seed, created)
		a.instances[created.id] = created
		return err
	})
}

// micros converts a number of microseconds to a duration.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
