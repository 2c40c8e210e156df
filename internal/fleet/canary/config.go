package canary

import (
	"fmt"
	"time"
)

// Measure is a quantity that is compared between changed and unchanged instances.
type Measure string

// The measures. The texts are stored and shown to operators.
const (
	Unserved     Measure = "unserved" // fraction of a class's requests that were rejected or failed
	Failed       Measure = "failed"   // fraction of a class's requests that failed and may have been executed
	WeightedLoss Measure = "worth"    // fraction of the requests of all classes, by weight, that were rejected or failed
	Attempts     Measure = "attempts" // attempts per request
	Rejections   Measure = "declined" // fraction of the attempts that servers rejected
	Slow         Measure = "slow"     // fraction of the measured requests that spent too much time in the sidecar
	Crashes      Measure = "crashes"  // crashes per minute
	Memory       Measure = "memory"   // growth of resident memory, in MiB per minute
	Files        Measure = "files"    // growth of open descriptors, per minute
)

// Margin is by how much a measure may be worse at changed instances, in the measure's unit.
type Margin struct {
	// Tolerate is the tolerated excess: an estimate below it never stops a change.
	Tolerate float64 `msgpack:"Tolerate" json:"Tolerate"`
	// Exclude is the excess that must be ruled out for the verdict to be "not worse".
	Exclude float64 `msgpack:"Exclude" json:"Exclude"`
}

// Margins returns the default margins. docs/design/staged-change.md gives the reason for each.
func Margins() map[Measure]Margin {
	return map[Measure]Margin{
		Unserved:     {0.01, 0.05},
		Failed:       {0.01, 0.03},
		WeightedLoss: {0.01, 0.04},
		Attempts:     {0.05, 0.25},
		Rejections:   {0.03, 0.15},
		Slow:         {0.02, 0.10},
		Crashes:      {0.05, 0.50},
		Memory:       {0.25, 2},
		Files:        {2, 20},
	}
}

// Config is the configuration of a Judge.
type Config struct {
	Classes []string  `msgpack:"Classes" json:"Classes"`
	Weights []float64 `msgpack:"Worth" json:"Worth"` // weight of a request, by class
	// Zones has one element for each instance: its zone, "" if it has none.
	Zones   []string           `msgpack:"Zones" json:"Zones"`
	Margins map[Measure]Margin `msgpack:"Margins" json:"Margins"`
	// Base and Change are the releases before and after the change. Windows of any other
	// release are excluded.
	Base   string `msgpack:"Base" json:"Base"`
	Change string `msgpack:"Change" json:"Change"`
	// Start is the first slot in which any instance is changed.
	Start int `msgpack:"Start" json:"Start"`
	// Slot is the length of a slot.
	Slot time.Duration `msgpack:"Slot" json:"Slot"`
	// WarmUp is the warm-up time: a window that begins when its process is younger is excluded,
	// unless it reports a crash.
	WarmUp time.Duration `msgpack:"Warm" json:"Warm"`
	// MinGaugeAge is the minimum age of a process whose memory and descriptors are compared, since
	// both grow in every new process.
	MinGaugeAge time.Duration `msgpack:"Settle" json:"Settle"`
	// FalseStops is the highest acceptable probability that a harmless change is ever judged
	// worse, over all measures, classes, zones and evaluations together.
	FalseStops float64 `msgpack:"FalseStops" json:"FalseStops"`
	// MaxSlots bounds the stored windows: windows of slot MaxSlots and later are excluded.
	MaxSlots int `msgpack:"SlotsMost" json:"SlotsMost"`
}

// Check returns an error that names the first invalid value of the configuration, nil if all
// values are valid.
func (c *Config) Check() error {
	switch {
	case len(c.Zones) == 0:
		return fmt.Errorf("canary analysis: no instances to compare")
	case len(c.Classes) == 0 || len(c.Classes) != len(c.Weights):
		return fmt.Errorf("canary analysis: %d classes and %d weights; want at least one class, and one weight for each", len(c.Classes), len(c.Weights))
	case c.Base == c.Change:
		return fmt.Errorf("canary analysis: base and change are both release %.12s; want two different releases", c.Base)
	case c.Slot <= 0 || c.WarmUp < 0 || c.MinGaugeAge < 0 || c.MaxSlots < 1 || c.Start < 0:
		return fmt.Errorf("canary analysis: slot length %v, warm-up %v, minimum gauge age %v, at most %d slots, start at slot %d; want a slot length above 0, at least 1 slot, and nothing negative", c.Slot, c.WarmUp, c.MinGaugeAge, c.MaxSlots, c.Start)
	case !(c.FalseStops > 0 && c.FalseStops < 0.5):
		return fmt.Errorf("canary analysis: probability of a false stop is %v; want above 0 and below 0.5", c.FalseStops)
	}
	for m, g := range c.Margins {
		if !(g.Tolerate > 0 && g.Exclude > g.Tolerate) {
			return fmt.Errorf("canary analysis: margin of %s: tolerate %v, exclude %v; want 0 < tolerate < exclude", m, g.Tolerate, g.Exclude)
		}
	}
	return nil
}
