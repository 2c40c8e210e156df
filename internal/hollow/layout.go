package hollow

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Numbers of regions, zones and services in the fleet that Layout returns.
const (
	Regions        = 9
	ZonesPerRegion = 3
	Services       = 790
)

// serviceSkew is the exponent of the distribution of service sizes: the number of hosts of the
// service of rank k, counted from 1, is proportional to k to the power of -serviceSkew. At 21,000
// hosts the largest service has about 1,400 of them, the median one 12 and the smallest 7.
const serviceSkew = 0.8

// Host is a host with one instance.
type Host struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Labels returns the labels by which a distribution.Scope selects the host's instance.
func (h Host) Labels() map[string]string {
	return map[string]string{"host": h.Name, "instance": h.Name, "region": h.Region, "zone": h.Zone, "service": h.Service}
}

// RegionName returns the name of a region by its number, from 0.
func RegionName(region int) string { return fmt.Sprintf("region-%d", region) }

// ZoneName returns the name of a zone by its number among all zones of the fleet, from 0.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// ServiceName returns the name of a service by its rank, 0 for the largest.
func ServiceName(rank int) string { return fmt.Sprintf("service-%03d", rank) }

// Layout returns count hosts, the same at each call. The sizes of zones differ by at most one
// host, and the hosts of each service are spread evenly over the zones.
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

// cumulativeShares returns for each rank the fraction of all hosts that run the services up to and
// including this rank.
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

// CountService returns how many of the hosts run a service.
func CountService(hosts []Host, service string) int {
	count := 0
	for _, host := range hosts {
		if host.Service == service {
			count++
		}
	}
	return count
}

// Divide splits hosts that Layout returned into parts of at most limit hosts, one for each worker
// process. All hosts of a part are in the same region, so that a test can cut off a region by
// stopping its processes.
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
		partSize := (len(region) + partCount(len(region), limit) - 1) / partCount(len(region), limit)
		parts = slices.AppendSeq(parts, slices.Chunk(region, partSize))
	}
	return parts
}

// partCount returns how many parts of at most limit hosts are needed for count hosts.
func partCount(count, limit int) int { return (count + limit - 1) / limit }
