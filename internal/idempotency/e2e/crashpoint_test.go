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

// rowWritten is told of each row that SQLite has written, in the midst of its transaction.
var rowWritten atomic.Pointer[func(string)]

func init() {
	driver.MustRegisterScalarFunction("crash_point", 0, func(*driver.FunctionContext, []sqldriver.Value) (sqldriver.Value, error) {
		if at := rowWritten.Load(); at != nil {
			(*at)("a row is written, its transaction is not")
		}
		return int64(0), nil
	})
}

// addCrashTrigger puts the points into a file, as a trigger.
func addCrashTrigger(path string, points func(string)) error {
	rowWritten.Store(&points)
	db, err := sql.Open("sqlite", path)
	if err != nil {
		return err
	}
	defer db.Close()
	_, err = db.Exec("CREATE TRIGGER IF NOT EXISTS crash AFTER INSERT ON record BEGIN SELECT crash_point(); END")
	return err
}

// crashPointBackend names the points before and after each transaction.
type crashPointBackend struct {
	idempotency.Backend
	reach func(string)
}

func (b *crashPointBackend) Apply(ctx context.Context, ops []*idempotency.Op) error {
	b.reach("before the transaction")
	err := b.Backend.Apply(ctx, ops)
	b.reach("after the transaction")
	return err
}

// crashPointRecorder names the points between the sidecar and its record.
type crashPointRecorder struct {
	recorder sidecar.Recorder
	reach    func(string)
}

func (p *crashPointRecorder) Begin(x *downstream.Exchange, left time.Duration, then func(sidecar.Verdict)) {
	p.reach("a request has come")
	p.recorder.Begin(x, left, func(v sidecar.Verdict) {
		p.reach("before the request goes on")
		if v.Entry != nil {
			v.Entry = &crashPointEntry{v.Entry, p.reach}
		}
		then(v)
		p.reach("after the request went on")
	})
}

type crashPointEntry struct {
	entry sidecar.Entry
	reach func(string)
}

func (p *crashPointEntry) Sending(n int, server string, then func(bool)) {
	p.reach("an attempt is decided")
	p.entry.Sending(n, server, func(ok bool) {
		p.reach("before its first byte")
		then(ok)
		p.reach("after its last byte")
	})
}

func (p *crashPointEntry) End(e sidecar.End, ans *upstream.Answer, left time.Duration, then func()) {
	p.reach("the end is known")
	p.entry.End(e, ans, left, func() {
		p.reach("before the answer goes out")
		then()
		p.reach("after the answer went out")
	})
}
