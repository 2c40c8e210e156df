package peers

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// A datagram is a checksum (CRC-32C over the fleet's name and the rest of the datagram, big
// endian) followed by MessagePack values: version, kind, sequence number, the sender's record,
// the fields of the kind, and items until the end. Only its address identifies the sender.

// Version is the version of the datagrams' format. Datagrams of another version are dropped.
const Version = 1

// messageKind is the kind of a datagram.
type messageKind uint8

const (
	kindPing        messageKind = iota // requests a kindAck with the same sequence number
	kindAck                            // acknowledges kindPing
	kindPingRequest                    // requests a ping of target on the sender's behalf
	kindIndirectAck                    // target has acknowledged; with the sequence number of kindPingRequest
	kindPull                           // requests the receiver's own entry that the field pulled identifies
	kindUpdate                         // carries items only
	kindCount
)

// message is the header of a datagram to send, or of a decoded one.
type message struct {
	kind    messageKind
	seq     uint32
	self    Record
	target  Rank     // of kindPingRequest and kindIndirectAck
	pulled  entryKey // of kindPull
	publish *Entry   // an entry to add before others
}

const (
	itemRecord  = 0 // followed by a rank and a record
	itemEntry   = 1 // followed by an entry
	ageUnit     = 100 * time.Millisecond
	maxAgeUnits = 1 << 31 // in ageUnit: seven years
)

// DecodeError reports why a datagram was dropped. Its field What completes the sentence "datagram
// dropped: ...".
type DecodeError struct {
	What string
	err  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.err == nil {
		return "peers: datagram dropped: " + e.What
	}
	return fmt.Sprintf("peers: datagram dropped: %s: %v", e.What, e.err)
}

// Unwrap returns the cause, nil if there is none.
func (e *DecodeError) Unwrap() error { return e.err }

// Advice returns the operator's next step.
func (e *DecodeError) Advice() string {
	return "occasional errors are caused by the network; if they continue, check whether a sidecar of another release or fleet runs at the peers' addresses"
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of a datagram's body.
func (n *Node) checksum(body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(n.config.Cluster), castagnoli), castagnoli, body)
}

// writer encodes one datagram. Writes to a bytes.Buffer do not fail.
type writer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	now time.Duration
}

// newWriter returns a writer with space for the checksum. Ages are relative to now.
func newWriter(now time.Duration) *writer {
	w := &writer{now: now}
	w.buf.Grow(MaxDatagram + 64)
	w.buf.Write([]byte{0, 0, 0, 0})
	w.enc = msgpack.NewEncoder(&w.buf)
	w.enc.UseCompactInts(true)
	return w
}

// uints encodes values in turn.
func (w *writer) uints(values ...uint64) {
	for _, value := range values {
		w.enc.EncodeUint(value)
	}
}

// age returns the age of what was created at a time, in ageUnit.
func (w *writer) age(createdAt time.Duration) uint64 {
	return uint64(min(max(0, w.now-createdAt)/ageUnit, maxAgeUnits))
}

// record encodes a record without its rank.
func (w *writer) record(r Record) {
	w.uints(r.Incarnation, uint64(r.Heartbeat), uint64(r.State), uint64(r.Phase), uint64(r.Traffic), w.age(r.StartedAt))
}

// addRecord adds the record of another member, and returns false if it does not fit.
func (w *writer) addRecord(r Record) bool {
	return w.item(itemRecord, func() {
		w.uints(uint64(r.Rank))
		w.record(r)
	})
}

// addEntry adds an entry, and returns false if it does not fit.
func (w *writer) addEntry(entry Entry) bool { return w.item(itemEntry, func() { w.entry(entry) }) }

// entry encodes an entry.
func (w *writer) entry(entry Entry) {
	w.uints(uint64(entry.Owner), uint64(entry.Kind), entry.Subject, entry.Incarnation, uint64(entry.Sequence), uint64(entry.Value), w.age(entry.CreatedAt))
}

// header encodes the version and a message, except for its items.
func (w *writer) header(m message) {
	w.uints(Version, uint64(m.kind), uint64(m.seq))
	w.record(m.self)
	switch m.kind {
	case kindPingRequest, kindIndirectAck:
		w.uints(uint64(m.target))
	case kindPull:
		w.uints(uint64(m.pulled.kind), m.pulled.subject)
	}
}

// item adds an item encoded by write, and returns false if it does not fit.
func (w *writer) item(kind uint64, write func()) bool {
	before := w.buf.Len()
	w.uints(kind)
	write()
	if w.buf.Len() > MaxDatagram {
		w.buf.Truncate(before)
		return false
	}
	return true
}

// finish sets the checksum and returns the datagram.
func (w *writer) finish(n *Node) []byte {
	data := w.buf.Bytes()
	binary.BigEndian.PutUint32(data, n.checksum(data[4:]))
	return data
}

// reader decodes one datagram. After the first error it returns zero values.
type reader struct {
	dec *msgpack.Decoder
	in  *bytes.Reader
	now time.Duration
	err error
}

// uint decodes a value of at most limit.
func (r *reader) uint(limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	value, err := r.dec.DecodeUint64()
	if err == nil && value > limit {
		err = fmt.Errorf("value %d exceeds %d", value, limit)
	}
	if err != nil {
		r.err = err
		return 0
	}
	return value
}

// createdAt decodes an age and returns the time of creation.
func (r *reader) createdAt() time.Duration { return r.now - time.Duration(r.uint(maxAgeUnits))*ageUnit }

// record decodes a record without its rank.
func (r *reader) record() Record {
	return Record{
		Incarnation: r.uint(maxIncarnation - 1), Heartbeat: uint32(r.uint(1<<32 - 1)), State: State(r.uint(uint64(Left))),
		Phase: uint8(r.uint(255)), Traffic: uint8(r.uint(255)), StartedAt: r.createdAt(),
	}
}

// entry decodes an entry.
func (r *reader) entry() Entry {
	return Entry{
		Owner: Rank(r.uint(1<<16 - 1)), Kind: uint8(r.uint(255)), Subject: r.uint(1<<64 - 1), Incarnation: r.uint(maxIncarnation - 1),
		Sequence: uint32(r.uint(1<<32 - 1)), Value: uint32(r.uint(1<<32 - 1)), CreatedAt: r.createdAt(),
	}
}

// decoded is a decoded datagram: its header and its items.
type decoded struct {
	message
	records []Record
	entries []Entry
}

// decode decodes a datagram. An error in any part rejects all of it.
func (n *Node) decode(now time.Duration, data []byte) (*decoded, error) {
	if len(data) < 5 || len(data) > MaxDatagram {
		return nil, &DecodeError{What: fmt.Sprintf("it has %d bytes", len(data))}
	}
	if binary.BigEndian.Uint32(data) != n.checksum(data[4:]) {
		return nil, &DecodeError{What: "its checksum is wrong, or it is of another fleet"}
	}
	in := bytes.NewReader(data[4:])
	r := &reader{dec: msgpack.NewDecoder(in), in: in, now: now}
	if v := r.uint(1<<64 - 1); r.err == nil && v != Version {
		return nil, &DecodeError{What: fmt.Sprintf("it has version %d, this sidecar reads version %d", v, Version)}
	}
	d := &decoded{}
	d.kind = messageKind(r.uint(uint64(kindCount) - 1))
	d.seq = uint32(r.uint(1<<32 - 1))
	d.self = r.record()
	switch d.kind {
	case kindPingRequest, kindIndirectAck:
		d.target = Rank(r.uint(uint64(n.config.Size) - 1))
	case kindPull:
		d.pulled = entryKey{n.config.Self, uint8(r.uint(255)), r.uint(1<<64 - 1)}
	}
	for r.err == nil && in.Len() > 0 {
		if r.uint(itemEntry) == itemRecord {
			rank := Rank(r.uint(1<<16 - 1))
			record := r.record()
			record.Rank = rank
			d.records = append(d.records, record)
		} else {
			d.entries = append(d.entries, r.entry())
		}
	}
	if r.err != nil {
		if errors.Is(r.err, io.EOF) {
			r.err = io.ErrUnexpectedEOF
		}
		return nil, &DecodeError{What: "it can't be decoded", err: r.err}
	}
	if d.self.Incarnation == 0 {
		return nil, &DecodeError{What: "its sender has no incarnation"}
	}
	return d, nil
}
