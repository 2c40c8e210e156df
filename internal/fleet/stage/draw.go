// Package stage decides how a change goes through a fleet in stages: who is in
// which (draw.go), and after each look at the evidence whether to go on, to wait,
// to hold or to stop (stage.go). It is pure: it does no I/O and reads no clock.
//
// It promises: the same members and seed give the same order; each stage holds the
// one before it; every beginning of the order takes from each zone its share,
// rounded, and spreads over traffic, hosts and shops within it; a stage is left only
// on "not worse" or by an operator's word, never by silence.
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

// Member is an instance that may be changed.
type Member struct {
	Host, Instance string
	Zone, Shop     string  // "" where it has none
	Rate           float64 // requests a second, of late; 0 if not known
}

// bands is how many bands of traffic a zone's members are told apart by.
const bands = 4

// Draw returns the members' numbers in the order in which they are changed.
func Draw(members []Member, seed uint64) []int {
	rng := rand.New(rand.NewPCG(seed, 3))
	// What the caller's order says must not matter.
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &members[a], &members[b]
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Rate, y.Rate), cmp.Compare(x.Host, y.Host), cmp.Compare(x.Instance, y.Instance))
	})
	luck := make([]float64, len(members))
	band := make([]int, len(members))
	type group struct {
		left  [bands][]int
		size  [bands]int
		all   int
		taken [bands]int
		total int
	}
	var zones []*group
	place := make(map[string]*group)
	count := make(map[string]int) // members of a zone seen, for their bands
	for _, i := range order {
		z := place[members[i].Zone]
		if z == nil {
			z = &group{}
			place[members[i].Zone] = z
			zones = append(zones, z)
		}
		z.all++
		luck[i] = rng.Float64()
	}
	for _, i := range order {
		z := place[members[i].Zone]
		band[i] = count[members[i].Zone] * bands / z.all
		count[members[i].Zone]++
		z.left[band[i]] = append(z.left[band[i]], i)
		z.size[band[i]]++
	}
	hosts, shops := make(map[string][2]int), make(map[string][2]int) // taken, all
	for _, m := range members {
		h, s := hosts[m.Host], shops[m.Shop]
		hosts[m.Host], shops[m.Shop] = [2]int{0, h[1] + 1}, [2]int{0, s[1] + 1}
	}
	// Ties between zones and bands are broken by the seed, one way throughout.
	zoneLuck := rng.Perm(len(zones))
	out := make([]int, 0, len(members))
	for k := 1; len(out) < len(members); k++ {
		// The zone that lags furthest behind its share, then its band likewise.
		var z *group
		best := math.Inf(-1)
		for n, g := range zones {
			lag := float64(k*g.all)/float64(len(members)) - float64(g.total) + 1e-9*float64(zoneLuck[n])
			if g.total < g.all && lag > best {
				z, best = g, lag
			}
		}
		b := -1
		best = math.Inf(-1)
		for n := range bands {
			lag := float64((z.total+1)*z.size[n])/float64(z.all) - float64(z.taken[n])
			if len(z.left[n]) > 0 && lag > best+1e-9 {
				b, best = n, lag
			}
		}
		// Of the band, who has the fewest of host and shop before them.
		at, least := 0, math.Inf(1)
		for n, i := range z.left[b] {
			h, s := hosts[members[i].Host], shops[members[i].Shop]
			if v := float64(h[0])/float64(h[1]) + float64(s[0])/float64(s[1]) + 1e-6*luck[i]; v < least {
				at, least = n, v
			}
		}
		i := z.left[b][at]
		z.left[b] = slices.Delete(z.left[b], at, at+1)
		z.taken[b]++
		z.total++
		h, s := hosts[members[i].Host], shops[members[i].Shop]
		hosts[members[i].Host], shops[members[i].Shop] = [2]int{h[0] + 1, h[1]}, [2]int{s[0] + 1, s[1]}
		out = append(out, i)
	}
	return out
}

// Sizes reads stages as operators write them, such as "1,2%,10%,50%,100%", for n
// members: how many run the change by the end of each. Stages that come out no
// larger than the one before are left out; the last must hold all.
func Sizes(text string, n int) ([]int, error) {
	var out []int
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		size := 0
		if p, ok := strings.CutSuffix(part, "%"); ok {
			v, err := strconv.ParseFloat(p, 64)
			if err != nil || !(v > 0 && v <= 100) {
				return nil, fmt.Errorf("stage %q is no percentage above 0 and up to 100", part)
			}
			size = max(1, int(math.Round(float64(n)*v/100)))
			if v < 100 {
				size = min(size, max(1, n-1))
			}
		} else {
			v, err := strconv.Atoi(part)
			if err != nil || v < 1 {
				return nil, fmt.Errorf("stage %q is no number of 1 or more and no percentage", part)
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
		return nil, fmt.Errorf("the last of the stages %s holds %d of %d instances; end them with 100%%", text, out[len(out)-1], n)
	}
	return out, nil
}
