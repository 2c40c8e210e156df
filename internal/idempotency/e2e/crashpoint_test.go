package e2e

import (
	"context"
	"database/sql"
	sqldriver "database/sql/driver"
	"sync/atomic"
	"time"

	driver "modernc.org/sqlite"

	"martendrum/internal/downstream"
	"martendrum/internal/idempotency"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

// rowWritten contains the function that is called for each row that SQLite has inserted into the
// table record, before the transaction is committed; nil: no function is called.
var rowWritten atomic.Pointer[func(string)]

func init() {
	driver.MustRegisterScalarFunction("crash_point", 0, func(*driver.FunctionContext, []sqldriver.Value) (sqldriver.Value, error) {
		if onPoint := rowWritten.Load(); onPoint != nil {
			(*onPoint)("a row is written, its transaction is not committed")
		}
		return int64(0), nil
	})
}

// addCrashTrigger adds a trigger to the database file that calls onPoint for each row that is
// inserted. It replaces the onPoint of any other file of this process.
func addCrashTrigger(path string, onPoint func(string)) error {
	rowWritten.Store(&onPoint)
	db, err := sql.Open("sqlite", path)
	if err != nil {
		return err
	}
	defer db.Close()
	_, err = db.Exec("CREATE TRIGGER IF NOT EXISTS crash AFTER INSERT ON record BEGIN SELECT crash_point(); END")
	return err
}

// crashPointBackend is a store with crash points before and after each transaction.
type crashPointBackend struct {
	idempotency.Backend
	reach func(string)
}

// Apply implements idempotency.Backend.
func (b *crashPointBackend) Apply(ctx context.Context, ops []*idempotency.Op) error {
	b.reach("before the transaction")
	err := b.Backend.Apply(ctx, ops)
	b.reach("after the transaction")
	return err
}

// crashPointRecorder adds crash points to a recorder: when a request is received, and before and
// after it is forwarded.
type crashPointRecorder struct {
	recorder sidecar.Recorder
	reach    func(string)
}

// Begin implements sidecar.Recorder.
func (p *crashPointRecorder) Begin(exchange *downstream.Exchange, timeLeft time.Duration, then func(sidecar.Verdict)) {
	p.reach("a request is received")
	p.recorder.Begin(exchange, timeLeft, func(verdict sidecar.Verdict) {
		p.reach("before the request is forwarded")
		if verdict.Entry != nil {
			verdict.Entry = &crashPointEntry{verdict.Entry, p.reach}
		}
		then(verdict)
		p.reach("after the request is forwarded")
	})
}

// crashPointEntry adds crash points to a recorded request: around the sending of an attempt and
// of the answer.
type crashPointEntry struct {
	entry sidecar.Entry
	reach func(string)
}

// Sending implements sidecar.Entry.
func (p *crashPointEntry) Sending(attempt int, server string, then func(bool)) {
	p.reach("an attempt is about to be recorded")
	p.entry.Sending(attempt, server, func(ok bool) {
		p.reach("before the attempt is sent")
		then(ok)
		p.reach("after the attempt is sent")
	})
}

// End implements sidecar.Entry.
func (p *crashPointEntry) End(end sidecar.End, answer *upstream.Answer, timeLeft time.Duration, then func()) {
	p.reach("the outcome is about to be recorded")
	p.entry.End(end, answer, timeLeft, func() {
		p.reach("before the answer is sent")
		then()
		p.reach("after the answer is sent")
	})
}
