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
	// SnapshotVersion is the version of the encoding. It changes with the meaning of any
	// field. Snapshots of other versions are rejected.
	SnapshotVersion = 1
	// MaxSnapshotSize is the maximum size of an encoded snapshot, in bytes.
	MaxSnapshotSize = 128 << 10
	// MaxSnapshotAge is the maximum age of a snapshot. The servers' state changes within
	// seconds, so an older snapshot is worse than none.
	MaxSnapshotAge = 30 * time.Second

	// maxClockError is how far in the future the time of a snapshot may be.
	maxClockError = time.Second
	// headerSize is the size, in bytes, of what follows the magic: the version (1 byte) and
	// the checksum (4 bytes).
	headerSize = 5

	// Bounds on learned values, see CheckLearned.
	maxSamples          = 1024
	maxServers          = 4096
	maxWeightCorrection = 16
	maxEjection         = time.Minute
)

// snapshotMagic is at the start of each encoded snapshot.
var snapshotMagic = []byte("mtdsnap")

// Errors of DecodeSnapshot. The caller ignores such a snapshot.
var (
	ErrDamaged = errors.New("handover: damaged snapshot")
	ErrForeign = errors.New("handover: snapshot of another version or sidecar")
	ErrStale   = errors.New("handover: snapshot too old")
)

// Snapshot is the state that a predecessor has learned, for its successor.
type Snapshot struct {
	Listen  string                  `json:"Listen"` // the sidecar's address
	SavedAt int64                   `json:"Saved"`  // Unix time in ns
	Learned martendrum.LearnedState `json:"Learned"`
}

// EncodeSnapshot encodes a snapshot as a magic, the version, a checksum (CRC-32C) and JSON. It
// returns an error for values that JSON lacks, such as NaN, and for a snapshot that is larger
// than MaxSnapshotSize.
func EncodeSnapshot(snapshot Snapshot) ([]byte, error) {
	body, err := json.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("handover: snapshot: %w", err)
	}
	encoded := append([]byte(nil), snapshotMagic...)
	encoded = append(encoded, SnapshotVersion)
	encoded = binary.BigEndian.AppendUint32(encoded, crc32.Checksum(body, castagnoli))
	if encoded = append(encoded, body...); len(encoded) > MaxSnapshotSize {
		return nil, fmt.Errorf("handover: snapshot is too large: %d bytes", len(encoded))
	}
	return encoded, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DecodeSnapshot decodes a snapshot for the sidecar at the address listen and returns its age.
// The error is ErrDamaged, ErrForeign or ErrStale. A snapshot with a value that no Balancer
// could have learned is damaged.
func DecodeSnapshot(data []byte, listen string, now time.Time) (learned martendrum.LearnedState, age time.Duration, err error) {
	body, err := checkEnvelope(data)
	if err != nil {
		return learned, 0, err
	}
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return learned, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if snapshot.Listen != listen {
		return learned, 0, fmt.Errorf("%w: it belongs to the sidecar at %q", ErrForeign, snapshot.Listen)
	}
	// A step of the wall clock makes the age wrong. A snapshot that then appears too old or
	// from the future is rejected, and its hints are lost. One that appears too young is
	// accepted, and its hints are older than assumed by the length of the step.
	if age = now.Sub(time.Unix(0, snapshot.SavedAt)); age < -maxClockError || age > MaxSnapshotAge {
		return learned, 0, fmt.Errorf("%w: its age is %v", ErrStale, age)
	}
	if err := CheckLearned(&snapshot.Learned); err != nil {
		return learned, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return snapshot.Learned, max(0, age), nil
}

// checkEnvelope checks the size, the magic, the version and the checksum of an encoded snapshot
// and returns its JSON.
func checkEnvelope(data []byte) (body []byte, err error) {
	rest, ok := bytes.CutPrefix(data, snapshotMagic)
	if !ok || len(rest) < headerSize || len(data) > MaxSnapshotSize {
		return nil, ErrDamaged
	}
	version, checksum, body := rest[0], binary.BigEndian.Uint32(rest[1:headerSize]), rest[headerSize:]
	if version != SnapshotVersion {
		return nil, fmt.Errorf("%w: version %d", ErrForeign, version)
	}
	if crc32.Checksum(body, castagnoli) != checksum {
		return nil, ErrDamaged
	}
	return body, nil
}

// CheckLearned returns an error that names the first value that no Balancer could have learned,
// and nil if there is none.
func CheckLearned(learned *martendrum.LearnedState) error {
	var err error
	within := func(name string, value, lower, upper float64) {
		if err == nil && !(value >= lower && value <= upper) { // also rejects NaN
			err = fmt.Errorf("%s is %v, which is out of range", name, value)
		}
	}
	within("Delay", learned.HedgeDelay, 0, math.MaxFloat32)
	within("Odds", learned.HedgeProbability, 0, 1)
	within("Lost", learned.LostFraction, 0, 1)
	within("Level", learned.ShedLevel, 0, 1)
	within("LevelAge", float64(learned.ShedLevelAge), 0, math.MaxInt64)
	within("Taken", learned.AcceptedFraction, 0, 1)
	within("MeanTime", learned.MeanLatency, 0, math.MaxFloat32)
	within("Primary", float64(len(learned.Primary)), 0, maxSamples)
	within("Copies", float64(len(learned.Hedges)), 0, maxSamples)
	within("Pairs", float64(len(learned.Pairs)), 0, maxSamples)
	within("Servers", float64(len(learned.Servers)), 0, maxServers)
	for _, list := range [][]martendrum.LearnedLatency{learned.Primary, learned.Hedges} {
		for _, sample := range list {
			within("a latency", sample.Latency, 0, math.MaxFloat32)
		}
	}
	for _, pair := range learned.Pairs {
		within("a latency of a pair", min(pair[0], pair[1]), 0, math.MaxFloat32)
		within("a latency of a pair", max(pair[0], pair[1]), 0, math.MaxFloat32)
	}
	for i := range learned.Servers {
		server := &learned.Servers[i]
		within(server.Name+": Weight", server.WeightCorrection, 1.0/maxWeightCorrection, maxWeightCorrection)
		within(server.Name+": Sum", server.LatencySum, 0, math.MaxFloat32)
		within(server.Name+": N", server.LatencyWeight, 0, math.MaxFloat32)
		within(server.Name+": Age", float64(server.LatencyAge), 0, math.MaxInt64)
		within(server.Name+": Started", float64(server.Started), 0, math.MaxInt64)
		within(server.Name+": Failures", float64(server.Failures), 0, math.MaxInt32)
		within(server.Name+": Ejections", float64(server.Ejections), 0, math.MaxInt32)
		within(server.Name+": EjectedAbout", float64(server.EjectionRemaining), 0, float64(maxEjection))
	}
	return err
}
