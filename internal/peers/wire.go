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

// A datagram is a checksum (CRC-32C over the fleet's name and what follows, big endian)
// and MessagePack values one behind the other: version, kind, sequence number, the
// sender's row, what the kind asks for, and items until the end. Who sent it is known by
// its address alone.

// Version is that of the datagrams. Another one is dropped whole: nothing is understood
// by half.
const Version = 1

type messageKind uint8

const (
	kindPing  messageKind = iota // answered by kindAck with the same number
	kindAck                      //
	kindReach                    // please ping target for me
	kindFound                    // target has answered, by the number of kindReach
	kindAsk                      // please tell about, which is yours
	kindNews                     // only items
	kinds
)

// message is a datagram's head.
type message struct {
	kind   messageKind
	seq    uint32
	self   Row
	target Rank    // of kindReach and kindFound
	about  factKey // of kindAsk
	tell   *Fact   // goes first
}

const (
	itemRow  = 0
	itemFact = 1
	ageUnit  = 100 * time.Millisecond
	ageMost  = 1 << 31 // units: seven years
)

// DecodeError says why a datagram was dropped.
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

// Advice says what an operator can do.
func (e *DecodeError) Advice() string {
	return "a few are the network's; if it goes on, look for a sidecar of another release or another fleet at these peers' addresses"
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (n *Node) checksum(body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(n.cfg.Fleet), castagnoli), castagnoli, body)
}

// writer packs one datagram. A write to a bytes.Buffer does not fail.
type writer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	now time.Duration
}

func newWriter(now time.Duration) *writer {
	w := &writer{now: now}
	w.buf.Grow(DatagramMost + 64)
	w.buf.Write([]byte{0, 0, 0, 0})
	w.enc = msgpack.NewEncoder(&w.buf)
	w.enc.UseCompactInts(true)
	return w
}

func (w *writer) ints(vs ...uint64) {
	for _, v := range vs {
		w.enc.EncodeUint(v)
	}
}

func (w *writer) age(born time.Duration) uint64 {
	return uint64(min(max(0, w.now-born)/ageUnit, ageMost))
}

func (w *writer) row(r Row) {
	w.ints(r.Life, uint64(r.Beat), uint64(r.State), uint64(r.Phase), uint64(r.Traffic), w.age(r.Born))
}

// addRow adds another's row, if it fits.
func (w *writer) addRow(r Row) bool {
	return w.item(itemRow, func() {
		w.ints(uint64(r.Rank))
		w.row(r)
	})
}

// addFact adds a fact, if it fits.
func (w *writer) addFact(f Fact) bool { return w.item(itemFact, func() { w.fact(f) }) }

func (w *writer) fact(f Fact) {
	w.ints(uint64(f.Owner), uint64(f.Kind), f.Subject, f.Life, uint64(f.Count), uint64(f.Value), w.age(f.Born))
}

func (w *writer) head(m message) {
	w.ints(Version, uint64(m.kind), uint64(m.seq))
	w.row(m.self)
	switch m.kind {
	case kindReach, kindFound:
		w.ints(uint64(m.target))
	case kindAsk:
		w.ints(uint64(m.about.kind), m.about.subject)
	}
}

// item adds what write writes, if it fits.
func (w *writer) item(kind uint64, write func()) bool {
	before := w.buf.Len()
	w.ints(kind)
	write()
	if w.buf.Len() > DatagramMost {
		w.buf.Truncate(before)
		return false
	}
	return true
}

func (w *writer) done(n *Node) []byte {
	b := w.buf.Bytes()
	binary.BigEndian.PutUint32(b, n.checksum(b[4:]))
	return b
}

// reader unpacks one datagram. The first error stays.
type reader struct {
	dec *msgpack.Decoder
	in  *bytes.Reader
	now time.Duration
	err error
}

func (r *reader) int(most uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeUint64()
	if err == nil && v > most {
		err = fmt.Errorf("%d where %d is the most", v, most)
	}
	if err != nil {
		r.err = err
		return 0
	}
	return v
}

func (r *reader) born() time.Duration { return r.now - time.Duration(r.int(ageMost))*ageUnit }

func (r *reader) row() Row {
	return Row{
		Life: r.int(lifeMost - 1), Beat: uint32(r.int(1<<32 - 1)), State: State(r.int(uint64(Left))),
		Phase: uint8(r.int(255)), Traffic: uint8(r.int(255)), Born: r.born(),
	}
}

func (r *reader) fact() Fact {
	return Fact{
		Owner: Rank(r.int(1<<16 - 1)), Kind: uint8(r.int(255)), Subject: r.int(1<<64 - 1), Life: r.int(lifeMost - 1),
		Count: uint32(r.int(1<<32 - 1)), Value: uint32(r.int(1<<32 - 1)), Born: r.born(),
	}
}

// decoded is a datagram as it was read, whole.
type decoded struct {
	message
	rows  []Row
	facts []Fact
}

// decode reads a datagram. Nothing of it is used if any of it can't be read.
func (n *Node) decode(now time.Duration, data []byte) (*decoded, error) {
	if len(data) < 5 || len(data) > DatagramMost {
		return nil, &DecodeError{What: fmt.Sprintf("%d bytes long", len(data))}
	}
	if binary.BigEndian.Uint32(data) != n.checksum(data[4:]) {
		return nil, &DecodeError{What: "its checksum is wrong, or it is another fleet's"}
	}
	in := bytes.NewReader(data[4:])
	r := &reader{dec: msgpack.NewDecoder(in), in: in, now: now}
	if v := r.int(1<<64 - 1); r.err == nil && v != Version {
		return nil, &DecodeError{What: fmt.Sprintf("version %d, and this is %d", v, Version)}
	}
	d := &decoded{}
	d.kind = messageKind(r.int(uint64(kinds) - 1))
	d.seq = uint32(r.int(1<<32 - 1))
	d.self = r.row()
	switch d.kind {
	case kindReach, kindFound:
		d.target = Rank(r.int(uint64(n.cfg.Size) - 1))
	case kindAsk:
		d.about = factKey{n.cfg.Self, uint8(r.int(255)), r.int(1<<64 - 1)}
	}
	for r.err == nil && in.Len() > 0 {
		if r.int(itemFact) == itemRow {
			rank := Rank(r.int(1<<16 - 1))
			row := r.row()
			row.Rank = rank
			d.rows = append(d.rows, row)
		} else {
			d.facts = append(d.facts, r.fact())
		}
	}
	if r.err != nil {
		if errors.Is(r.err, io.EOF) {
			r.err = io.ErrUnexpectedEOF
		}
		return nil, &DecodeError{What: "it can't be read", err: r.err}
	}
	if d.self.Life == 0 {
		return nil, &DecodeError{What: "its sender has no life"}
	}
	return d, nil
}
