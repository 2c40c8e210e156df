package api

import (
	"time"

	"martendrum/internal/fleet/canary"
)

// MetricsIn asks for what an agent's instances counted at the boundaries of slots
// of its own length, from After on (a boundary's number, Unix time over the
// length), the earliest first.
type MetricsIn struct {
	After int64 `msgpack:"after"`
	Limit int   `msgpack:"most"` // samples; 0: as many as a message holds
}

type MetricsOut struct {
	Slot    time.Duration `msgpack:"slot"` // 0: this agent takes no figures
	Now     time.Time     `msgpack:"now"`
	Last    int64         `msgpack:"last"` // the latest boundary that is whole
	Samples []Sample      `msgpack:"samples"`
}

// Sample is what an instance's door told at a boundary; see canary.Sample.
type Sample struct {
	Instance string                   `msgpack:"i"`
	Boundary int64                    `msgpack:"b"`
	At       time.Time                `msgpack:"t"`
	Process  string                   `msgpack:"p"`
	Release  string                   `msgpack:"r"`
	Started  time.Time                `msgpack:"s"`
	Classes  map[string]canary.Counts `msgpack:"c"`
	Attempts uint32                   `msgpack:"n"`
	Finished uint32                   `msgpack:"e"`
	Rejected uint32                   `msgpack:"d"`
	Timed    uint32                   `msgpack:"o"`
	Slow     uint32                   `msgpack:"w"`
	Crashes  uint32                   `msgpack:"x"`
	Memory   uint64                   `msgpack:"m"`
	Files    uint32                   `msgpack:"f"`
}

// CanarySample is the sample as the judge takes it: of the instance at that place, with the
// classes in that order.
func (s *Sample) CanarySample(instance int, classes []string) canary.Sample {
	w := canary.Window{Instance: instance, Release: s.Release, Attempts: s.Attempts, Finished: s.Finished, Rejected: s.Rejected,
		Timed: s.Timed, Slow: s.Slow, Crashes: s.Crashes, Memory: s.Memory, Files: s.Files, Classes: make([]canary.Counts, len(classes))}
	for n, name := range classes {
		w.Classes[n] = s.Classes[name]
	}
	return canary.Sample{At: s.At, Process: s.Process, Started: s.Started, Window: w}
}
