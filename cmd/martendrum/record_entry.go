package main

import (
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

// recordEntry is a row as it is printed.
type recordEntry struct {
	Class         string    `json:"class"`
	Key           string    `json:"key"`
	State         string    `json:"state"`
	Request       string    `json:"request,omitempty"` // its Req-Id
	Attempts      int64     `json:"attempts"`
	Servers       string    `json:"servers,omitempty"`
	Owner         string    `json:"owner,omitempty"`
	Began         time.Time `json:"began"`
	Changed       time.Time `json:"changed"`
	Status        int64     `json:"status,omitempty"`
	Header        string    `json:"header,omitempty"`
	Answer        []byte    `json:"answer,omitempty"`
	AnswerDropped bool      `json:"answer_not_kept,omitempty"`
	Settled       string    `json:"settled_by,omitempty"`
	Note          string    `json:"note,omitempty"`
}

func newRecordEntry(r *idempotency.Entry) recordEntry {
	return recordEntry{Class: r.Class, Key: r.Key, State: string(r.State), Request: r.Request, Attempts: r.Attempts, Servers: r.Servers, Owner: r.Owner,
		Began: time.UnixMicro(r.Began).UTC(), Changed: time.UnixMicro(r.Changed).UTC(), Status: r.Status, Header: string(r.Header), Answer: r.Answer,
		AnswerDropped: r.Cut, Settled: r.Settled, Note: r.Note}
}

func describeAnswer(p *recordEntry) string {
	switch {
	case p.Status == 0:
		return ""
	case p.AnswerDropped:
		return fmt.Sprintf("%d, too large to be kept", p.Status)
	}
	return fmt.Sprintf("%d, %d bytes: %.200q", p.Status, len(p.Answer), p.Answer)
}
