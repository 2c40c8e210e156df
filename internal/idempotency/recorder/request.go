package recorder

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"martendrum/internal/downstream"
	"martendrum/internal/idempotency"
	"martendrum/internal/protocol"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

const (
	// unavailableRetry is the Retry-After of a request that is rejected as the store is
	// unavailable.
	unavailableRetry = 500 * time.Millisecond
	// busyRetry is the Retry-After of a request while another request with its key is in
	// flight.
	busyRetry = 500 * time.Millisecond
	// claimWaitDivisor limits how long a request waits for its claim, to the time until its
	// deadline divided by it.
	claimWaitDivisor = 4
)

// recordedRequest is a request of a class whose keys are recorded. It implements
// sidecar.Entry.
type recordedRequest struct {
	recorder    *Recorder
	class       *Class
	key         string
	token       string
	fingerprint []byte
	requestID   string
	lease       time.Duration

	mu          sync.Mutex
	storeFailed bool // the store failed: further attempts are not written
	fenced      bool // the claim is no longer this request's: nothing may be sent
	inGap       bool // the request was counted in a gap
}

// Begin implements sidecar.Recorder.
func (r *Recorder) Begin(exchange *downstream.Exchange, remaining time.Duration, then func(sidecar.Verdict)) {
	class := r.classes[exchange.Class]
	if class == nil {
		then(sidecar.Verdict{})
		return
	}
	key, err := class.KeyRule.Key(exchange.Request.Head, exchange.Request.Body)
	if err != nil {
		r.count("no key")
		then(deny(http.StatusBadRequest, strings.Map(printable, err.Error()), 0))
		return
	}
	r.claim(r.newRequest(exchange, class, key, remaining), min(class.MaxWait, remaining/claimWaitDivisor), then)
}

// newRequest returns a request that ends within remaining, with a new token.
func (r *Recorder) newRequest(exchange *downstream.Exchange, class *Class, key string, remaining time.Duration) *recordedRequest {
	requestID, _ := idempotency.HeaderField(exchange.Request.Head, protocol.RequestID) // no error: package downstream has checked the header
	return &recordedRequest{
		recorder:    r,
		class:       class,
		key:         key,
		lease:       remaining + r.config.LeaseMargin,
		token:       fmt.Sprintf("%s-%d", r.owner, r.tokens.Add(1)),
		fingerprint: idempotency.Fingerprint(exchange.Request.Head, exchange.Tenant, exchange.Request.Body),
		requestID:   storableText(requestID),
	}
}

// claim claims the key of a request, waits up to wait for the store, and calls then with the
// verdict.
func (r *Recorder) claim(request *recordedRequest, wait time.Duration, then func(sidecar.Verdict)) {
	class := request.class
	op := request.op(idempotency.Claim)
	// release ends a claim that was granted after its request had been rejected.
	release := func() {
		if op.Result == idempotency.Granted && !class.FailOpen {
			r.submit(submission{op: request.endOp(idempotency.NeverRan), maxWait: class.MaxWait, wait: class.MaxWait, retryOnError: true, done: func(error) {}})
		}
	}
	done := func(err error) {
		switch {
		case err == nil:
			then(r.verdict(request, op))
		case class.FailOpen:
			request.failOpen(err)
			then(sidecar.Verdict{Entry: request})
		default:
			r.count("refused")
			if !errors.Is(err, ErrUnavailable) { // the store failed; it may have written the claim
				op.Result = idempotency.Granted
				release()
			}
			then(sidecar.Verdict{Answer: func(exchange *downstream.Exchange) { exchange.Reject(unavailableRetry) }})
		}
	}
	r.submit(submission{op: op, maxWait: class.MaxWait, wait: wait, done: done, doneAfterTimeout: release})
}

// deny returns a verdict that answers a request with a status, a reason and, unless it is 0,
// a Retry-After.
func deny(status int, reason string, retryAfter time.Duration) sidecar.Verdict {
	return sidecar.Verdict{Answer: func(exchange *downstream.Exchange) { exchange.Deny(status, reason, retryAfter) }}
}

// verdict returns the verdict about a request whose claim had the result op.Result.
func (r *Recorder) verdict(request *recordedRequest, op *idempotency.Op) sidecar.Verdict {
	r.count("claims " + op.Result.String())
	stored := &op.Entry
	switch op.Result {
	case idempotency.Granted:
		return sidecar.Verdict{Entry: request}
	case idempotency.Busy:
		return deny(http.StatusConflict, "in-flight; ask again with the same key", busyRetry)
	case idempotency.KeyReused:
		return deny(http.StatusUnprocessableEntity, "key-reused; the key belongs to a request that asked for something else", 0)
	case idempotency.AlreadyAnswered:
		if stored.AnswerOmitted || stored.SettledBy != "" {
			return deny(http.StatusConflict, "answered; it ran, and its answer is not kept", 0)
		}
		answer := &upstream.Answer{Header: decodeHeader(stored.Header), Body: stored.Answer}
		return sidecar.Verdict{Answer: func(exchange *downstream.Exchange) { exchange.Serve(answer) }}
	}
	return deny(http.StatusConflict, "may-have-run; it is not sent again, the shop's staff must settle it", 0)
}

// op returns an op of the request.
func (e *recordedRequest) op(kind idempotency.OpKind) *idempotency.Op {
	return &idempotency.Op{
		Kind:        kind,
		Class:       e.class.Name,
		Key:         e.key,
		Token:       e.token,
		Owner:       e.recorder.owner,
		Fingerprint: e.fingerprint,
		RequestID:   e.requestID,
		Lease:       e.lease,
	}
}

// endOp returns an op that ends the request with an outcome.
func (e *recordedRequest) endOp(outcome idempotency.State) *idempotency.Op {
	op := e.op(idempotency.End)
	op.Outcome = outcome
	return op
}

// failOpen marks that the request continues without the store, and counts it once in the gap
// of its class.
func (e *recordedRequest) failOpen(cause error) {
	e.mu.Lock()
	counted := e.inGap
	e.storeFailed, e.inGap = true, true
	e.mu.Unlock()
	if !counted {
		e.recorder.extendGap(e.class.Name, cause)
	}
}

// Sending implements sidecar.Entry.
func (e *recordedRequest) Sending(attempt int, server string, then func(ok bool)) {
	e.mu.Lock()
	storeFailed, fenced := e.storeFailed, e.fenced
	e.mu.Unlock()
	if storeFailed || fenced {
		then(e.class.FailOpen && !fenced)
		return
	}
	op := e.op(idempotency.Send)
	op.Attempt, op.Server = attempt, storableText(server)
	done := func(err error) {
		switch {
		case err == nil && op.Result == idempotency.Granted:
			then(true)
		case err == nil:
			e.recorder.count("fenced")
			e.mu.Lock()
			e.fenced = true
			e.mu.Unlock()
			then(false) // another request may own the key: this one must not be sent, even if its class fails open
		case e.class.FailOpen:
			e.failOpen(err)
			then(true)
		default:
			e.mu.Lock()
			e.storeFailed = true
			e.mu.Unlock()
			then(false)
		}
	}
	e.recorder.submit(submission{op: op, maxWait: e.class.MaxWait, wait: e.class.MaxWait, done: done})
}

// stateOfEnd maps the outcomes of package sidecar to those of the store.
var stateOfEnd = map[sidecar.End]idempotency.State{
	sidecar.Served:     idempotency.Answered,
	sidecar.NeverRan:   idempotency.NeverRan,
	sidecar.MayHaveRun: idempotency.MayHaveRun,
}

// End implements sidecar.Entry.
func (e *recordedRequest) End(end sidecar.End, answer *upstream.Answer, remaining time.Duration, then func()) {
	op := e.endOp(stateOfEnd[end])
	if answer != nil {
		op.Status, op.Header = http.StatusOK, encodeHeader(answer.Header)
		if len(answer.Body) <= e.recorder.config.MaxAnswerBytes {
			op.Answer = answer.Body
		} else {
			op.AnswerOmitted = true
		}
	}
	wait := max(0, min(e.class.MaxWait, remaining))
	e.recorder.submit(submission{op: op, maxWait: e.class.MaxWait, wait: wait, retryOnError: true, done: func(error) { then() }})
}
