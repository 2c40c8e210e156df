package capacity

import "math"

// The operators' requirements and limits.
const (
	Servers        = 21000 // each has a sidecar of its own
	Services       = 790
	Regions        = 9
	Zones          = 27
	CallsPerSecond = 1.3e6 // of all servers together
	CallDepth      = 7     // sidecars that a chain of nested calls passes through
	ChangesPerDay  = 13000 // of settings
	RestartsPerDay = 5400  // machines that are restarted or replaced
	FailuresPerDay = 43    // machines that fail

	MaxAddedMilliseconds  = 2.0    // that sidecars may add to a call, for 99 in 100 calls
	ConvergeSeconds       = 16.0   // within which a change of settings has to take effect everywhere
	ControlCorePercent    = 4.0    // processor time for control, of each sidecar
	ControlMegabytes      = 64.0   // memory for control, of each sidecar
	ControlBytesPerSecond = 3000.0 // network traffic for control, of each sidecar
	ControlMachines       = 16     // machines that are reserved for control
	ProcessDescriptors    = 20000  // file descriptors of one process
)

const (
	secondsPerDay    = 24 * 60 * 60
	minutesPerDay    = 24 * 60
	bytesPerMebibyte = 1 << 20
	bytesPerMegabyte = 1e6
	// controlMebibytes is ControlMegabytes in the unit of the measured memory.
	controlMebibytes = ControlMegabytes * bytesPerMegabyte / bytesPerMebibyte
)

// Assumptions, where the operators state nothing.
const (
	// servicesCalled and maxServicesCalled are the typical and the largest number of services that a
	// sidecar calls.
	servicesCalled    = 5
	maxServicesCalled = 20
	// typicalSidecarsPerHost and maxSidecarsPerHost are the mean and the largest number of sidecars
	// on a host.
	typicalSidecarsPerHost = 3
	maxSidecarsPerHost     = 10
	// listChangesPerRestart is the number of server list changes that a restart causes: the server
	// is draining, is removed, and is back.
	listChangesPerRestart = 3
	// badMinuteFactor is the rate of settings changes in a bad minute, as a multiple of the mean
	// rate.
	badMinuteFactor = 10
	// serversPerRack is the number of servers in a rack.
	serversPerRack = 40
	// controlMachineGibibytes is the memory of a control machine. It is assumed to have as much as
	// the machine on which the measurements ran.
	controlMachineGibibytes = 24
	// keyedFraction is the fraction of calls that have an idempotency key.
	keyedFraction = 0.1
	// keyRetentionMinutes is how long the idempotency store keeps a key.
	keyRetentionMinutes = 10
	// idempotencyStoreBytes is the size limit of a sidecar's idempotency store.
	idempotencyStoreBytes = 64 << 20
)

// serversPerZone is the mean number of servers in a zone, rounded down.
const serversPerZone = Servers / Zones

// callsPerSidecar is the mean number of calls per second that one sidecar handles.
const callsPerSidecar = CallsPerSecond / Servers

// ServiceSizes returns the assumed number of servers of each service, the largest service first. By
// Zipf's law the k-th largest service has 1/k of the servers of the largest one, rounded. The
// largest service has the greatest size with which all sizes add up to at most Servers, and in
// addition the servers that are left over.
func ServiceSizes() []int {
	low, high := 1, Servers
	for high-low > 1 { // binary search: the sum grows with the size of the largest service
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

// zipf returns the sizes of all services, given the size of the largest one.
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

// meanCalledServers returns the mean number of servers of a called service. It assumes that
// services are called in proportion to their sizes.
func meanCalledServers(sizes []int) float64 {
	squares := 0.0
	for _, size := range sizes {
		squares += float64(size) * float64(size)
	}
	return squares / Servers
}

// meanListLength returns the mean number of servers on the list of a sidecar that calls the given
// number of services.
func meanListLength(sizes []int, services int) float64 {
	return min(Servers, float64(services)*meanCalledServers(sizes))
}

// callersOfLargest returns the expected number of sidecars that call the largest service. It
// assumes that each sidecar calls the typical number of services, drawn in proportion to their
// sizes.
func callersOfLargest(sizes []int) float64 {
	otherServicesShare := 1 - float64(sizes[0])/Servers
	return Servers * (1 - math.Pow(otherServicesShare, servicesCalled))
}
