package canary

import (
	"fmt"
	"time"
)

// Measure is one thing that is compared.
type Measure string

// The measures.
const (
	Unserved     Measure = "unserved" // share of a class's requests refused or failed
	Failed       Measure = "failed"   // share of a class's requests failed: they may have run
	WeightedLoss Measure = "worth"    // share of the worth asked for that was not served
	Attempts     Measure = "attempts" // attempts a request
	Rejections   Measure = "declined" // share of attempts that servers turned away
	Slow         Measure = "slow"     // share of requests held in the sidecar for too long
	Crashes      Measure = "crashes"  // a minute
	Memory       Measure = "memory"   // growth, MiB a minute
	Files        Measure = "files"    // growth of open descriptors, a minute
)

// Margin is how much worse a measure may be, in the measure's unit.
type Margin struct {
	// Tolerate is what is stood: an estimate below it stops nothing.
	Tolerate float64 `msgpack:"Tolerate" json:"Tolerate"`
	// Exclude is the harm that must be ruled out before "not worse" is said.
	Exclude float64 `msgpack:"Exclude" json:"Exclude"`
}

// Margins are the defaults: docs/design/staged-change.md argues each.
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

// Config is what a judge needs to know before the first window.
type Config struct {
	Classes []string  `msgpack:"Classes" json:"Classes"`
	Weights []float64 `msgpack:"Worth" json:"Worth"` // of a request of each class
	// Zones has each instance's zone, "" where it has none.
	Zones   []string           `msgpack:"Zones" json:"Zones"`
	Margins map[Measure]Margin `msgpack:"Margins" json:"Margins"`
	// Base and Change are the releases compared. Windows of others are left out.
	Base   string `msgpack:"Base" json:"Base"`
	Change string `msgpack:"Change" json:"Change"`
	// Start is the slot from which on the change is made to anyone.
	Start int `msgpack:"Start" json:"Start"`
	// Slot is a slot's length.
	Slot time.Duration `msgpack:"Slot" json:"Slot"`
	// Warm is how old a process must be at a window's begin for it to count.
	Warm time.Duration `msgpack:"Warm" json:"Warm"`
	// Settle is likewise for memory and descriptors, which grow at first.
	Settle time.Duration `msgpack:"Settle" json:"Settle"`
	// FalseStops is the probability with which a change that is no worse is ever
	// called worse, over all measures, classes, zones and looks together.
	FalseStops float64 `msgpack:"FalseStops" json:"FalseStops"`
	// MaxSlots bounds what is kept: windows of later slots are left out.
	MaxSlots int `msgpack:"SlotsMost" json:"SlotsMost"`
}

// Check says what is wrong with a configuration.
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
