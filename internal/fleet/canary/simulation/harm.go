package simulation

// Harm is what a changed instance does worse.
type Harm struct {
	Name string
	// Lost is the fraction of requests that it additionally fails to serve, of Class
	// (anyClass: of all), in Zone (anyZone: in all).
	Lost          float64
	Class, Zone   int
	ExtraAttempts float64 // additional attempts per request
	Leak          float64 // MiB per minute
}

const (
	anyClass = -1
	anyZone  = -1
)

// affects reports whether the harm applies to requests of a class in a zone.
func (h *Harm) affects(class, zone int) bool {
	return (h.Class < 0 || h.Class == class) && (h.Zone < 0 || h.Zone == zone)
}

// Harms are the harms that are simulated, of which the first is none.
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
