package handover

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"

	"martendrum"
)

const (
	// SnapshotVersion changes with the meaning of any field: what another version
	// wrote is not understood halfway.
	SnapshotVersion = 1
	// MaxSnapshotSize is the longest snapshot read.
	MaxSnapshotSize = 128 << 10
	// MaxSnapshotAge is how old a snapshot may be. Servers' state changes within seconds;
	// past it a start from nothing knows more.
	MaxSnapshotAge = 30 * time.Second

	maxSamples = 1024
	maxServers = 4096
)

var snapshotMagic = []byte("mtdsnap")

// Errors of a snapshot, which is then left aside.
var (
	ErrDamaged = errors.New("handover: damaged snapshot")
	ErrForeign = errors.New("handover: snapshot of another version or sidecar")
	ErrStale   = errors.New("handover: snapshot too old")
)

// Snapshot is what one process has learned for the next.
type Snapshot struct {
	Listen  string                  `json:"Listen"` // the sidecar's, by its address
	SavedAt int64                   `json:"Saved"`  // Unix time in ns
	Learned martendrum.LearnedState `json:"Learned"`
}

// EncodeSnapshot is s as bytes: a mark, the version, a checksum (CRC-32C), JSON.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("handover: snapshot: %w", err)
	}
	b := append([]byte(nil), snapshotMagic...)
	b = append(b, SnapshotVersion)
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	if b = append(b, body...); len(b) > MaxSnapshotSize {
		return nil, fmt.Errorf("handover: snapshot of %d bytes", len(b))
	}
	return b, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DecodeSnapshot reads a snapshot for the sidecar at listen, and how old it is. Anything in it
// that no Balancer could have learned makes it damaged.
func DecodeSnapshot(data []byte, listen string, now time.Time) (l martendrum.LearnedState, age time.Duration, err error) {
	body, ok := bytes.CutPrefix(data, snapshotMagic)
	switch {
	case !ok || len(body) < 5 || len(data) > MaxSnapshotSize:
		return l, 0, ErrDamaged
	case body[0] != SnapshotVersion:
		return l, 0, fmt.Errorf("%w: version %d", ErrForeign, body[0])
	case crc32.Checksum(body[5:], castagnoli) != binary.BigEndian.Uint32(body[1:5]):
		return l, 0, ErrDamaged
	}
	var s Snapshot
	if err := json.Unmarshal(body[5:], &s); err != nil {
		return l, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if s.Listen != listen {
		return l, 0, fmt.Errorf("%w: of %q", ErrForeign, s.Listen)
	}
	// A step of the wall clock makes the age wrong: too old or from the future is not taken,
	// which costs the hints; too young lets hints of MaxSnapshotAge and the step's length through,
	// which are hints still.
	if age = now.Sub(time.Unix(0, s.SavedAt)); age < -time.Second || age > MaxSnapshotAge {
		return l, 0, fmt.Errorf("%w: %v", ErrStale, age)
	}
	if err := CheckLearned(&s.Learned); err != nil {
		return l, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s.Learned, max(0, age), nil
}

// CheckLearned names the first value that no Balancer could have learned.
func CheckLearned(l *martendrum.LearnedState) error {
	var err error
	within := func(name string, v, least, limit float64) {
		if err == nil && !(v >= least && v <= limit) { // a NaN is not
			err = fmt.Errorf("%s is %v", name, v)
		}
	}
	within("Delay", l.HedgeDelay, 0, math.MaxFloat32)
	within("Odds", l.HedgeProbability, 0, 1)
	within("Lost", l.LostFraction, 0, 1)
	within("Level", l.ShedLevel, 0, 1)
	within("LevelAge", float64(l.ShedLevelAge), 0, math.MaxInt64)
	within("Taken", l.AcceptedFraction, 0, 1)
	within("MeanTime", l.MeanLatency, 0, math.MaxFloat32)
	within("Primary", float64(len(l.Primary)), 0, maxSamples)
	within("Copies", float64(len(l.Hedges)), 0, maxSamples)
	within("Pairs", float64(len(l.Pairs)), 0, maxSamples)
	within("Servers", float64(len(l.Servers)), 0, maxServers)
	for _, list := range [][]martendrum.LearnedLatency{l.Primary, l.Hedges} {
		for _, s := range list {
			within("a time", s.Latency, 0, math.MaxFloat32)
		}
	}
	for _, p := range l.Pairs {
		within("a pair", min(p[0], p[1]), 0, math.MaxFloat32)
		within("a pair", max(p[0], p[1]), 0, math.MaxFloat32)
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		within(s.Name+": Weight", s.WeightCorrection, 1.0/16, 16)
		within(s.Name+": Sum", s.LatencySum, 0, math.MaxFloat32)
		within(s.Name+": N", s.LatencyWeight, 0, math.MaxFloat32)
		within(s.Name+": Age", float64(s.LatencyAge), 0, math.MaxInt64)
		within(s.Name+": Started", float64(s.Started), 0, math.MaxInt64)
		within(s.Name+": Failures", float64(s.Failures), 0, math.MaxInt32)
		within(s.Name+": Ejections", float64(s.Ejections), 0, math.MaxInt32)
		within(s.Name+": EjectedAbout", float64(s.EjectionRemaining), 0, float64(time.Minute))
	}
	return err
}
