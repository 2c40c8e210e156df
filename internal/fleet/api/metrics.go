package api

import (
	"time"

	"martendrum/internal/fleet/canary"
)

// MetricsIn requests the samples of an agent's instances after a slot boundary, earliest first. The
// number of a boundary is its Unix time divided by the length of the agent's slots.
type MetricsIn struct {
	After int64 `msgpack:"after"`
	Limit int   `msgpack:"most"` // maximum number of samples; 0: as many as fit into a message
}

// MetricsOut contains samples of an agent's instances.
type MetricsOut struct {
	Slot    time.Duration `msgpack:"slot"` // length of a slot; 0 if the agent collects no metrics
	Now     time.Time     `msgpack:"now"`  // by the agent's clock
	Last    int64         `msgpack:"last"` // number of the latest boundary for which all samples are included
	Samples []Sample      `msgpack:"samples"`
}

// Sample contains the metrics of an instance at a slot boundary. canary.Sample and canary.Window describe
// the fields. Sampled is a number of requests, not a time; see Window.Sampled.
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
	Sampled  uint32                   `msgpack:"o"`
	Slow     uint32                   `msgpack:"w"`
	Crashes  uint32                   `msgpack:"x"`
	Memory   uint64                   `msgpack:"m"`
	Files    uint32                   `msgpack:"f"`
}

// CanarySample converts the sample for the canary analysis. instance is the index of the instance in
// canary.Config.Zones, and classes names the classes in the order of canary.Config.Classes.
func (s *Sample) CanarySample(instance int, classes []string) canary.Sample {
	window := canary.Window{Instance: instance, Release: s.Release, Attempts: s.Attempts, Finished: s.Finished, Rejected: s.Rejected,
		Sampled: s.Sampled, Slow: s.Slow, Crashes: s.Crashes, Memory: s.Memory, Files: s.Files, Classes: make([]canary.Counts, len(classes))}
	for n, name := range classes {
		window.Classes[n] = s.Classes[name]
	}
	return canary.Sample{At: s.At, Process: s.Process, Started: s.Started, Window: window}
}
