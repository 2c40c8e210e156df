package martendrum

import (
	"fmt"
	"testing"
	"time"
)

// skews are by how much a balancer's clock may be ahead of the clocks of servers.
var skews = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// The story. A process that started while its machine's clock was an hour ahead took a
// server that had started just now for one that was warm, and sent it a warm one's share;
// with a clock an hour behind it took it for cold for an hour. Whatever the clock says, a
// start that is told is cold from then on, and warm when its time is over.
func TestToldStartIsColdWhateverTheClock(t *testing.T) {
	for _, skew := range skews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := fleetOf(4)
			r := &recorder{}
			b, err := New(cfg, 1, r)
			if err != nil {
				t.Fatal(err)
			}
			const truth = 100 * time.Hour
			own := truth + skew
			b.ServersListed(own, list)
			own += 10 * time.Second
			list[0].Started = truth + 9*time.Second // a second ago
			b.ServersChanged(own, list[:1])
			s := b.endpoints.byName[list[0].Name]
			fresh := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*1.0/cfg.SlowStartDuration.Seconds() // what it truly is
			if got := b.endpoints.slowStartFactor(s, own); got > fresh {
				t.Errorf("it counts as %.2f warm, it is %.2f", got, fresh)
			}
			if got := b.endpoints.slowStartFactor(s, own+cfg.SlowStartDuration); got < 1 {
				t.Errorf("it counts as %.2f warm after its time", got)
			}
		})
	}
}

// Of a first list no server counts as warmer than it is, whatever the clock, if the newest
// start on it is of just now; what is warm by its distance to that stays warm.
func TestFirstListIsReadColder(t *testing.T) {
	for _, skew := range skews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := fleetOf(4)
			const truth = 100 * time.Hour
			ages := []time.Duration{0, cfg.SlowStartDuration / 2, 2 * cfg.SlowStartDuration}
			for n, age := range ages {
				list[n].Started = truth - age
			}
			r := &recorder{}
			b, err := New(cfg, 1, r)
			if err != nil {
				t.Fatal(err)
			}
			own := truth + skew
			b.ServersRestored(own, fleetOf(4)) // from before the starts
			b.ServersListed(own, list)
			for n, age := range ages {
				s := b.endpoints.byName[list[n].Name]
				true := min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*age.Seconds()/cfg.SlowStartDuration.Seconds())
				got := b.endpoints.slowStartFactor(s, own)
				if got > true+1e-9 {
					t.Errorf("a server of age %v counts as %.2f warm, it is %.2f", age, got, true)
				}
				if skew >= 0 && got < true-1e-9 {
					t.Errorf("a server of age %v counts as %.2f warm, it is %.2f", age, got, true)
				}
				if got := b.endpoints.slowStartFactor(s, own+cfg.SlowStartDuration); got < 1 {
					t.Errorf("a server of age %v counts as %.2f warm after its time", age, got)
				}
			}
			if s := b.endpoints.byName[list[3].Name]; b.endpoints.slowStartFactor(s, own) < 1 {
				t.Error("a server of long ago counts as cold")
			}
		})
	}
}

// The same list again, whole or as a change, is no new start.
func TestRepeatedListIsNoStart(t *testing.T) {
	cfg := testConfig()
	list := fleetOf(2)
	b, _ := newTest(t, cfg, list...)
	list[0].Started = time.Hour
	b.ServersChanged(time.Hour, list[:1])
	b.ServersListed(time.Hour+cfg.SlowStartDuration/2, list)
	b.ServersChanged(time.Hour+cfg.SlowStartDuration/2, list)
	if s := b.endpoints.byName[list[0].Name]; b.endpoints.slowStartFactor(s, time.Hour+cfg.SlowStartDuration) < 1 {
		t.Error("a server that was told again counts as started anew")
	}
}
