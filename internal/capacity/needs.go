package capacity

import "math"

// The operators' requirements and limits.
const (
	Servers        = 21000
	Services       = 790
	Regions        = 9
	Zones          = 27
	CallsPerSecond = 1.3e6
	Depth          = 7
	ChangesPerDay  = 13000
	RestartsPerDay = 5400
	FailuresPerDay = 43

	AddedMilliseconds     = 2.0  // to a call, for 99 in 100
	ConvergeSeconds       = 16.0 // a change of settings is in force everywhere
	ControlCorePercent    = 4.0
	ControlMegabytes      = 64.0
	ControlBytesPerSecond = 3000.0
	ControlMachines       = 16
	ProcessDescriptors    = 20000
)

const (
	secondsPerDay   = 24 * 60 * 60
	minutesPerDay   = 24 * 60
	mebibyte        = 1 << 20
	megabyte        = 1e6
	controlMebibyte = ControlMegabytes * megabyte / mebibyte
)

// Assumptions, where the operators state nothing.
const (
	// servicesCalled and maxServicesCalled are how many services a sidecar calls, typically and at
	// most.
	servicesCalled    = 5
	maxServicesCalled = 20
	// typicalSidecars and maxSidecars are how many sidecars a host has.
	typicalSidecars = 3
	maxSidecars     = 10
	// listChanges is how many changes of the list a restart makes: draining, removed, back.
	listChanges = 3
	// overloadFactor is the rate of settings changes in a bad minute, as a multiple of the usual
	// one.
	overloadFactor = 10
	// rackServers is how many servers a rack has.
	rackServers = 40
	// controlMachineGigabytes is the memory of a control machine: that of the machine of these
	// measurements.
	controlMachineGigabytes = 24
	// keyedFraction is the fraction of calls with an idempotency key, and keyMinutes the retention
	// of keys.
	keyedFraction = 0.1
	keyMinutes    = 10
	// idempotencyStoreBytes is the size limit of a sidecar's idempotency store.
	idempotencyStoreBytes = 64 << 20
)

// zoneServers is the mean number of servers of a zone.
const zoneServers = Servers / Zones

// callsPerSidecar is the calls per second of one sidecar.
const callsPerSidecar = CallsPerSecond / Servers

// ServiceSizes is the assumed distribution of servers over services, the largest first: the
// k-th largest has 1/k of the largest one's servers (Zipf's law), rounded. The largest is
// what makes the sum right.
func ServiceSizes() []int {
	low, high := 1, Servers
	for high-low > 1 { // the sum grows with the largest
		middle := (low + high) / 2
		if sum(zipf(middle)) > Servers {
			high = middle
		} else {
			low = middle
		}
	}
	sizes := zipf(low)
	sizes[0] += Servers - sum(sizes)
	return sizes
}

func zipf(largest int) []int {
	sizes := make([]int, Services)
	for rank := range sizes {
		sizes[rank] = int(math.Round(float64(largest) / float64(rank+1)))
	}
	return sizes
}

func sum(sizes []int) int {
	total := 0
	for _, size := range sizes {
		total += size
	}
	return total
}

// calledServers returns the mean number of servers of a called service, if services are called in
// proportion to their sizes.
func calledServers(sizes []int) float64 {
	squares := 0.0
	for _, size := range sizes {
		squares += float64(size) * float64(size)
	}
	return squares / Servers
}

// listOfServices returns the mean length of the list of a sidecar that calls a number of services.
func listOfServices(sizes []int, services int) float64 {
	return min(Servers, float64(services)*calledServers(sizes))
}

// callersOfLargest returns how many sidecars call the largest service, if each calls the typical
// number of services, drawn in proportion to their sizes.
func callersOfLargest(sizes []int) float64 {
	others := 1 - float64(sizes[0])/Servers
	return Servers * (1 - math.Pow(others, servicesCalled))
}
