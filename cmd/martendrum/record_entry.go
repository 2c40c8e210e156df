package main

import (
	"fmt"
	"time"

	"martendrum/internal/idempotency"
)

// recordEntry is an entry of the store as the commands print it.
type recordEntry struct {
	Class         string    `json:"class"`
	Key           string    `json:"key"`
	State         string    `json:"state"`
	Request       string    `json:"request,omitempty"` // the request's Req-Id header
	Attempts      int64     `json:"attempts"`
	Servers       string    `json:"servers,omitempty"`
	Owner         string    `json:"owner,omitempty"`
	Began         time.Time `json:"began"`
	Changed       time.Time `json:"changed"`
	Status        int64     `json:"status,omitempty"`
	Header        string    `json:"header,omitempty"`
	Answer        []byte    `json:"answer,omitempty"`
	AnswerDropped bool      `json:"answer_not_kept,omitempty"` // too large to be stored
	Settled       string    `json:"settled_by,omitempty"`
	Note          string    `json:"note,omitempty"`
}

// newRecordEntry converts an entry of the store for printing.
func newRecordEntry(e *idempotency.Entry) recordEntry {
	return recordEntry{
		Class:         e.Class,
		Key:           e.Key,
		State:         string(e.State),
		Request:       e.RequestID,
		Attempts:      e.Attempts,
		Servers:       e.Servers,
		Owner:         e.Owner,
		Began:         time.UnixMicro(e.StartedAt).UTC(),
		Changed:       time.UnixMicro(e.ChangedAt).UTC(),
		Status:        e.Status,
		Header:        string(e.Header),
		Answer:        e.Answer,
		AnswerDropped: e.AnswerOmitted,
		Settled:       e.SettledBy,
		Note:          e.Note,
	}
}

// describeAnswer returns an entry's answer as text: its status, and up to 200 characters of its body.
// It returns "" if there is no answer.
func describeAnswer(e *recordEntry) string {
	switch {
	case e.Status == 0:
		return ""
	case e.AnswerDropped:
		return fmt.Sprintf("%d, too large to be kept", e.Status)
	}
	return fmt.Sprintf("%d, %d bytes: %.200q", e.Status, len(e.Answer), e.Answer)
}
