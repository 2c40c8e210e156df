package hollow

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// The fleet that hosts are laid out as.
const (
	Regions        = 9
	ZonesPerRegion = 3
	Services       = 790
)

// serviceSkew is the exponent of the sizes of services: that of rank k is in proportion to
// k to the power of -serviceSkew. At 21,000 hosts the largest service has about 1,400 of
// them, the median one 12 and the smallest 7.
const serviceSkew = 0.8

// Host is a host with one instance.
type Host struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Labels are those by which a scope names the host's instance.
func (h Host) Labels() map[string]string {
	return map[string]string{"host": h.Name, "instance": h.Name, "region": h.Region, "zone": h.Zone, "service": h.Service}
}

// RegionName is the name of a region by its number.
func RegionName(region int) string { return fmt.Sprintf("region-%d", region) }

// ZoneName is the name of a zone by its number in the fleet.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// ServiceName is the name of a service by its rank, 0 for the largest.
func ServiceName(rank int) string { return fmt.Sprintf("service-%03d", rank) }

// Layout returns so many hosts. Zones have the same number of hosts, give or take one, and
// each service is spread over all zones. It is the same at each call.
func Layout(count int) []Host {
	shares := cumulativeShares()
	hosts := make([]Host, count)
	for n := range hosts {
		zone := n % (Regions * ZonesPerRegion)
		rank := sort.SearchFloat64s(shares, (float64(n)+0.5)/float64(count))
		hosts[n] = Host{Name: fmt.Sprintf("host-%05d", n), Region: RegionName(zone / ZonesPerRegion),
			Zone: ZoneName(zone), Service: ServiceName(min(rank, Services-1))}
	}
	return hosts
}

// cumulativeShares is the part of all hosts that the services up to each rank have.
func cumulativeShares() []float64 {
	shares := make([]float64, Services)
	total := 0.0
	for rank := range shares {
		total += math.Pow(float64(rank+1), -serviceSkew)
		shares[rank] = total
	}
	for rank := range shares {
		shares[rank] /= total
	}
	return shares
}

// CountService is how many of the hosts run a service.
func CountService(hosts []Host, service string) int {
	count := 0
	for _, host := range hosts {
		if host.Service == service {
			count++
		}
	}
	return count
}

// Divide divides the hosts over processes so that no two regions share one, unless there are
// fewer processes than regions.
func Divide(hosts []Host, limit int) [][]Host {
	byRegion := make([][]Host, Regions)
	for n, host := range hosts {
		region := n % (Regions * ZonesPerRegion) / ZonesPerRegion
		byRegion[region] = append(byRegion[region], host)
	}
	var parts [][]Host
	for _, region := range byRegion {
		if len(region) == 0 {
			continue
		}
		each := (len(region) + partsOf(len(region), limit) - 1) / partsOf(len(region), limit)
		parts = slices.AppendSeq(parts, slices.Chunk(region, each))
	}
	return parts
}

func partsOf(count, limit int) int { return (count + limit - 1) / limit }
