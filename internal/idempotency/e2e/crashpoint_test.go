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

// rowWritten is called for each row that SQLite has written, within its transaction.
var rowWritten atomic.Pointer[func(string)]

func init() {
	driver.MustRegisterScalarFunction("crash_point", 0, func(*driver.FunctionContext, []sqldriver.Value) (sqldriver.Value, error) {
		if onPoint := rowWritten.Load(); onPoint != nil {
			(*onPoint)("a row is written, its transaction is not")
		}
		return int64(0), nil
	})
}

// addCrashTrigger adds to a file a trigger that calls onPoint for each row.
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

// crashPointBackend has crash points before and after each transaction.
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

// crashPointRecorder has the crash points between the sidecar and its recorder.
type crashPointRecorder struct {
	recorder sidecar.Recorder
	reach    func(string)
}

// Begin implements sidecar.Recorder.
func (p *crashPointRecorder) Begin(exchange *downstream.Exchange, left time.Duration, then func(sidecar.Verdict)) {
	p.reach("a request is received")
	p.recorder.Begin(exchange, left, func(verdict sidecar.Verdict) {
		p.reach("before the request is forwarded")
		if verdict.Entry != nil {
			verdict.Entry = &crashPointEntry{verdict.Entry, p.reach}
		}
		then(verdict)
		p.reach("after the request is forwarded")
	})
}

// crashPointEntry has the crash points of a recorded request.
type crashPointEntry struct {
	entry sidecar.Entry
	reach func(string)
}

// Sending implements sidecar.Entry.
func (p *crashPointEntry) Sending(attempt int, server string, then func(bool)) {
	p.reach("an attempt is decided")
	p.entry.Sending(attempt, server, func(ok bool) {
		p.reach("before its first byte")
		then(ok)
		p.reach("after its last byte")
	})
}

// End implements sidecar.Entry.
func (p *crashPointEntry) End(end sidecar.End, answer *upstream.Answer, left time.Duration, then func()) {
	p.reach("the outcome is known")
	p.entry.End(end, answer, left, func() {
		p.reach("before the answer is sent")
		then()
		p.reach("after the answer is sent")
	})
}
