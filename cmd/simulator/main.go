// Command simulator hosts balancers on the simulator's wire: events on standard
// input, actions on standard output. It decides nothing itself.
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
	// Requests are short-lived garbage over a small live heap: collecting less
	// often saves CPU, and the limit keeps a large fleet within bounds.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(4 << 30)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(1)
	}
}

// ledgers is the number of list numbers in use on the wire.
const ledgers = 16

// adapter is the program's state: instances by id, and the numbered lists, which
// belong to the process.
type adapter struct {
	in        *bufio.Reader
	out       io.Writer
	long      []byte // a line longer than in's buffer
	line      int
	dec       wire.Decoder
	reply     wire.Reply
	instances map[string]*instance
	lists     [ledgers][]martendrum.Endpoint
	listed    [ledgers]bool
	now       time.Duration
	failed    bool
}

func run(in io.Reader, out io.Writer) error {
	a := &adapter{
		in:        bufio.NewReaderSize(in, 1<<16),
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

// next reads a line without its end.
func (a *adapter) next() ([]byte, error) {
	line, err := a.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		a.long = append(a.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = a.in.ReadSlice('\n')
			a.long = append(a.long, line...)
		}
		line = a.long
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

// batch answers one batch; false says that the input ended before it.
func (a *adapter) batch() (more bool, err error) {
	var e wire.Event
	turn := int64(-1)
	for {
		line, err := a.next()
		switch {
		case err == io.EOF && turn < 0:
			return false, nil
		case err == io.EOF:
			return false, fmt.Errorf("batch %d cut short", turn)
		case err != nil:
			return false, err
		case len(line) == 0:
			continue
		}
		if err := a.dec.Decode(line, &e); err != nil {
			return false, err
		}
		switch {
		case e.Kind == wire.BatchStart && turn < 0:
			turn = e.Batch
			a.now = micros(e.TimeMicros)
			a.reply.Reset()
		case e.Kind == wire.BatchStart || turn < 0:
			return false, errors.New("message out of place: a batch runs from tick to end")
		case e.Kind == wire.BatchEnd:
			a.reply.EndBatch(turn)
			_, err := a.out.Write(a.reply.Bytes())
			return true, err
		default:
			if err := a.event(&e); err != nil {
				return false, err
			}
		}
	}
}

func (a *adapter) event(e *wire.Event) error {
	if e.Kind == wire.ServerList || e.Kind == wire.ServersChanged {
		if e.ListNumber < 0 || e.ListNumber >= ledgers {
			return fmt.Errorf("unknown ledger number %d", e.ListNumber)
		}
	}
	switch e.Kind {
	case wire.ServerList:
		a.lists[e.ListNumber], a.listed[e.ListNumber] = endpoints(e.Entries), true
		return nil
	case wire.InstanceStarted:
		return a.start(e)
	}
	i := a.instances[string(e.Instance)]
	if i == nil {
		return fmt.Errorf("event for unknown instance %q", e.Instance)
	}
	if e.Kind == wire.InstanceStopped {
		delete(a.instances, i.id)
		return nil
	}
	if e.Kind == wire.ServersChanged && string(e.Change) != "broken" && !a.listed[e.ListNumber] {
		return fmt.Errorf("unknown ledger number %d", e.ListNumber)
	}
	return a.guard(i.id, func() error { return i.event(e, a) })
}

// guard turns a panic of the decision code into bailOut.
func (a *adapter) guard(id string, f func() error) (err error) {
	if a.failed {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			a.failed = true
			a.reply.ReportPanic(id, fmt.Sprint(p))
		}
	}()
	return f()
}

func (a *adapter) start(e *wire.Event) error {
	set, err := settings.Parse(e.Settings)
	if err != nil {
		return err
	}
	i := &instance{id: string(e.Instance), reply: &a.reply, set: set}
	return a.guard(i.id, func() error {
		i.b, err = martendrum.New(set.Config, e.Seed, i)
		a.instances[i.id] = i
		return err
	})
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
