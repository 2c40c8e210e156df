// Package stage decides how a change proceeds through a fleet in stages: the order of
// the instances (draw.go) and, after each slot of evidence, whether to continue, wait,
// hold or stop (stage.go). It is pure: it does no I/O and reads no clock.
//
// It promises:
//   - The same members and seed give the same order, and each stage includes the one before
//     it.
//   - Every prefix of the order takes members from each zone in proportion to the zone's
//     size, rounded. Within the zone it spreads over traffic, hosts and shops.
//   - A stage ends only with the verdict "not worse" or on an operator's order. It never
//     ends for lack of evidence unless the plan says so.
//
// It does not judge the evidence, which package canary does, and it changes no instance:
// package rollout decides on the steps within a stage.
package stage

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Member is an instance that takes part in a staged change.
type Member struct {
	Host, Instance string
	Zone, Shop     string  // "" where it has none
	Rate           float64 // recent requests per second; 0 if unknown
}

// trafficBands is the number of bands into which a zone's members are divided by traffic.
const trafficBands = 4

// Factors and differences that are small enough to matter only in a tie.
const (
	zoneTieBreak   = 1e-9 // factor of a zone's random rank
	bandTolerance  = 1e-9 // difference below which two bands are equally far behind
	memberTieBreak = 1e-6 // factor of a member's random number
)

// Draw returns the indices of the members in the order in which they are changed. The order
// of instances depends on the members and on seed, but not on the order in which members
// lists them.
func Draw(members []Member, seed uint64) []int {
	rng := rand.New(rand.NewPCG(seed, 3))
	d := newDrawing(members, rng)
	// Ties between zones are always broken in the same way, which depends on the seed.
	zoneRank := rng.Perm(len(d.zones))
	order := make([]int, 0, len(members))
	for len(order) < len(members) {
		zone := d.furthestBehind(len(order)+1, zoneRank)
		band := zone.furthestBehind()
		member := zone.take(band, d.leastExposed(zone.remaining[band]))
		d.count(member)
		order = append(order, member)
	}
	return order
}

// drawing is the state of one Draw.
type drawing struct {
	members []Member
	random  []float64 // by member: a random number that breaks ties
	zones   []*drawnZone
	hosts   map[string]drawnCount // by host
	shops   map[string]drawnCount // by shop
}

// drawnCount counts the members of a host or shop, and those of them that are drawn.
type drawnCount struct{ drawn, total int }

// fraction returns the fraction of the members that is drawn.
func (c drawnCount) fraction() float64 { return float64(c.drawn) / float64(c.total) }

// drawnZone is the members of a zone by traffic band, and how many of them are drawn.
type drawnZone struct {
	remaining   [trafficBands][]int // indices of the members not drawn yet
	bandSize    [trafficBands]int
	drawnOfBand [trafficBands]int
	size        int
	drawn       int
}

// newDrawing groups the members by zone and traffic band, and counts them by host and shop.
// It draws one random number for each member, in an order that does not depend on the order
// in which members lists them.
func newDrawing(members []Member, rng *rand.Rand) *drawing {
	d := &drawing{members: members, random: make([]float64, len(members)), hosts: make(map[string]drawnCount), shops: make(map[string]drawnCount)}
	sorted := sortedByZoneAndRate(members)
	zones := make(map[string]*drawnZone)
	for _, i := range sorted {
		zone := zones[members[i].Zone]
		if zone == nil {
			zone = &drawnZone{}
			zones[members[i].Zone] = zone
			d.zones = append(d.zones, zone)
		}
		zone.size++
		d.random[i] = rng.Float64()
	}
	seen := make(map[string]int) // by zone: number of its members so far
	for _, i := range sorted {
		name := members[i].Zone
		zone := zones[name]
		band := seen[name] * trafficBands / zone.size
		seen[name]++
		zone.remaining[band] = append(zone.remaining[band], i)
		zone.bandSize[band]++
	}
	for _, m := range members {
		d.hosts[m.Host] = drawnCount{total: d.hosts[m.Host].total + 1}
		d.shops[m.Shop] = drawnCount{total: d.shops[m.Shop].total + 1}
	}
	return d
}

// sortedByZoneAndRate returns the members' indices, sorted by zone, and by traffic within a
// zone.
func sortedByZoneAndRate(members []Member) []int {
	sorted := make([]int, len(members))
	for i := range sorted {
		sorted[i] = i
	}
	slices.SortFunc(sorted, func(a, b int) int {
		first, second := &members[a], &members[b]
		return cmp.Or(cmp.Compare(first.Zone, second.Zone), cmp.Compare(first.Rate, second.Rate), cmp.Compare(first.Host, second.Host), cmp.Compare(first.Instance, second.Instance))
	})
	return sorted
}

// furthestBehind returns the zone with remaining members that is furthest behind its share
// of the first count members of the order.
func (d *drawing) furthestBehind(count int, zoneRank []int) *drawnZone {
	var zone *drawnZone
	best := math.Inf(-1)
	for n, z := range d.zones {
		lag := float64(count*z.size)/float64(len(d.members)) - float64(z.drawn) + zoneTieBreak*float64(zoneRank[n])
		if z.drawn < z.size && lag > best {
			zone, best = z, lag
		}
	}
	return zone
}

// furthestBehind returns the traffic band with remaining members that is furthest behind its
// share of the zone's drawn members, including the one to be drawn next.
func (z *drawnZone) furthestBehind() int {
	band := -1
	best := math.Inf(-1)
	for n := range trafficBands {
		lag := float64((z.drawn+1)*z.bandSize[n])/float64(z.size) - float64(z.drawnOfBand[n])
		if len(z.remaining[n]) > 0 && lag > best+bandTolerance {
			band, best = n, lag
		}
	}
	return band
}

// take removes the band's remaining member at the given position, counts it as drawn, and
// returns its index.
func (z *drawnZone) take(band, position int) int {
	member := z.remaining[band][position]
	z.remaining[band] = slices.Delete(z.remaining[band], position, position+1)
	z.drawnOfBand[band]++
	z.drawn++
	return member
}

// leastExposed returns the position of the candidate for which the drawn fractions of its
// host and of its shop have the smallest sum.
func (d *drawing) leastExposed(candidates []int) int {
	position, least := 0, math.Inf(1)
	for n, i := range candidates {
		host, shop := d.hosts[d.members[i].Host], d.shops[d.members[i].Shop]
		if exposure := host.fraction() + shop.fraction() + memberTieBreak*d.random[i]; exposure < least {
			position, least = n, exposure
		}
	}
	return position
}

// count adds a drawn member to the counts of its host and shop.
func (d *drawing) count(member int) {
	m := &d.members[member]
	host, shop := d.hosts[m.Host], d.shops[m.Shop]
	host.drawn++
	shop.drawn++
	d.hosts[m.Host], d.shops[m.Shop] = host, shop
}

// Sizes parses stages as operators write them, such as "1,2%,10%,50%,100%", for n
// members. It returns how many members run the change by the end of each stage. A percentage
// below 100 leaves out at least one member, unless there is only one. A stage of the same size
// as the one before is omitted. Sizes returns an error if a stage is smaller
// than the one before, or if the last one does not include all members.
func Sizes(text string, n int) ([]int, error) {
	var out []int
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		size := 0
		if p, ok := strings.CutSuffix(part, "%"); ok {
			v, err := strconv.ParseFloat(p, 64)
			if err != nil || !(v > 0 && v <= 100) {
				return nil, fmt.Errorf("stage %q is not a percentage above 0 and up to 100", part)
			}
			size = max(1, int(math.Round(float64(n)*v/100)))
			if v < 100 {
				size = min(size, max(1, n-1))
			}
		} else {
			v, err := strconv.Atoi(part)
			if err != nil || v < 1 {
				return nil, fmt.Errorf("stage %q is neither a number of at least 1 nor a percentage", part)
			}
			size = min(v, n)
		}
		if len(out) > 0 && size < out[len(out)-1] {
			return nil, fmt.Errorf("stage %q is smaller than the one before it", part)
		}
		if len(out) == 0 || size > out[len(out)-1] {
			out = append(out, size)
		}
	}
	if out[len(out)-1] != n {
		return nil, fmt.Errorf("the last of the stages %s includes %d of %d instances; end the stages with 100%%", text, out[len(out)-1], n)
	}
	return out, nil
}
