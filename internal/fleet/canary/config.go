package canary

import (
	"fmt"
	"time"
)

// Measure is a quantity that is compared.
type Measure string

// The measures.
const (
	Unserved     Measure = "unserved" // fraction of a class's requests that were rejected or failed
	Failed       Measure = "failed"   // fraction of a class's requests that failed and may have been executed
	WeightedLoss Measure = "worth"    // fraction of the requests, by weight, that were rejected or failed
	Attempts     Measure = "attempts" // attempts per request
	Rejections   Measure = "declined" // fraction of the attempts that servers rejected
	Slow         Measure = "slow"     // fraction of the requests that were in the sidecar for too long
	Crashes      Measure = "crashes"  // per minute
	Memory       Measure = "memory"   // growth, MiB per minute
	Files        Measure = "files"    // growth of open descriptors, per minute
)

// Margin is by how much a measure may be worse, in the measure's unit.
type Margin struct {
	// Tolerate is the tolerated excess: a smaller estimate never stops a change.
	Tolerate float64 `msgpack:"Tolerate" json:"Tolerate"`
	// Exclude is the excess that must be ruled out before the verdict is "not worse".
	Exclude float64 `msgpack:"Exclude" json:"Exclude"`
}

// Margins are the default margins. docs/design/staged-change.md gives the reason for each.
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

// Config is the configuration of a judge.
type Config struct {
	Classes []string  `msgpack:"Classes" json:"Classes"`
	Weights []float64 `msgpack:"Worth" json:"Worth"` // of a request, by class
	// Zones is the zone of each instance, "" where it has none.
	Zones   []string           `msgpack:"Zones" json:"Zones"`
	Margins map[Measure]Margin `msgpack:"Margins" json:"Margins"`
	// Base and Change are the compared releases. Windows of others are excluded.
	Base   string `msgpack:"Base" json:"Base"`
	Change string `msgpack:"Change" json:"Change"`
	// Start is the first slot in which the change is made to any instance.
	Start int `msgpack:"Start" json:"Start"`
	// Slot is the length of a slot.
	Slot time.Duration `msgpack:"Slot" json:"Slot"`
	// Warm is the minimum age of a process at the beginning of a window.
	Warm time.Duration `msgpack:"Warm" json:"Warm"`
	// Settle is the minimum age for memory and descriptors, which grow at first.
	Settle time.Duration `msgpack:"Settle" json:"Settle"`
	// FalseStops is the probability that a change that is no worse is ever judged worse,
	// over all measures, classes, zones and looks together.
	FalseStops float64 `msgpack:"FalseStops" json:"FalseStops"`
	// MaxSlots bounds the stored windows: those of later slots are excluded.
	MaxSlots int `msgpack:"SlotsMost" json:"SlotsMost"`
}

// Check returns an error that names the invalid values of a configuration.
func (c *Config) Check() error {
	switch {
	case len(c.Zones) == 0:
		return fmt.Errorf("judge: no instance to judge")
	case len(c.Classes) == 0 || len(c.Classes) != len(c.Weights):
		return fmt.Errorf("judge: %d classes and the worth of %d; want one worth a class, and a class at least", len(c.Classes), len(c.Weights))
	case c.Base == c.Change:
		return fmt.Errorf("judge: old and new are both release %.12s: there is nothing to compare", c.Base)
	case c.Slot <= 0 || c.Warm < 0 || c.Settle < 0 || c.MaxSlots < 1 || c.Start < 0:
		return fmt.Errorf("judge: slot %v, warm %v, settle %v, %d slots, start %d; want a slot above 0, 1 slot or more, the others 0 or more", c.Slot, c.Warm, c.Settle, c.MaxSlots, c.Start)
	case !(c.FalseStops > 0 && c.FalseStops < 0.5):
		return fmt.Errorf("judge: rate of false stops is %v; want above 0 and under 0.5", c.FalseStops)
	}
	for m, g := range c.Margins {
		if !(g.Tolerate > 0 && g.Exclude > g.Tolerate) {
			return fmt.Errorf("judge: margin of %s: tolerate %v, exclude %v; want 0 < tolerate < exclude", m, g.Tolerate, g.Exclude)
		}
	}
	return nil
}
