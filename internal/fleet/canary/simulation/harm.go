package simulation

// Harm is what an instance does worse once it is changed.
type Harm struct {
	Name string // shown to users, who select a harm by it
	// Lost is the fraction of the otherwise served requests that is lost. It applies to the
	// requests of Class at the instances in Zone; both are indices, or anyClass for all
	// classes and anyZone for all zones.
	Lost          float64
	Class, Zone   int
	ExtraAttempts float64 // additional attempts per request
	Leak          float64 // growth of resident memory in MiB per minute
}

// The values of Harm.Class and Harm.Zone that do not limit the loss.
const (
	anyClass = -1
	anyZone  = -1
)

// affects reports whether the loss affects requests of a class at instances in a zone.
func (h *Harm) affects(class, zone int) bool {
	return (h.Class < 0 || h.Class == class) && (h.Zone < 0 || h.Zone == zone)
}

// Harms returns the simulated harms. The first one is no harm.
func Harms() []Harm {
	return []Harm{
		{Name: "none", Class: anyClass, Zone: anyZone},
		{Name: "serves 2 % less", Lost: 0.02, Class: anyClass, Zone: anyZone},
		{Name: "serves 5 % less", Lost: 0.05, Class: anyClass, Zone: anyZone},
		{Name: "serves 20 % less", Lost: 0.20, Class: anyClass, Zone: anyZone},
		{Name: "loses 20 % of one class in one zone", Lost: 0.20, Class: 0, Zone: 0},
		{Name: "sends a third more attempts", ExtraAttempts: 0.33, Class: anyClass, Zone: anyZone},
		{Name: "leaks 3 MiB a minute", Leak: 3, Class: anyClass, Zone: anyZone},
	}
}
