package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
)

// selectFlags adds the flags that select instances.
func selectFlags(c *cobra.Command) *inventory.Select {
	s := &inventory.Select{}
	f := c.Flags()
	f.StringSliceVar(&s.Hosts, "host", nil, "only on these hosts (* and ? fit any)")
	f.StringSliceVar(&s.Labels, "label", nil, "only with one of these labels, KEY=VALUE")
	f.StringSliceVar(&s.Instances, "instance", nil, "only these instances (* and ? fit any)")
	f.StringSliceVar(&s.Releases, "release", nil, "only those that run or should run a release whose hash begins so")
	f.StringSliceVar(&s.States, "state", nil, "only those in one of these states, desired or actual")
	return s
}

// runFlags is how a command runs an operation.
type runFlags struct {
	ttl, giveUp time.Duration
}

func (r *runFlags) add(c *cobra.Command) {
	c.Flags().DurationVar(&r.ttl, "lease", 15*time.Second, "how long the instances stay ours if this command stalls")
	c.Flags().DurationVar(&r.giveUp, "give-up", 30*time.Second, "how long a silent agent, or a change that can't go on, is waited for")
}

func (r *runFlags) options(g *global) client.Options {
	return client.Options{LeaseHolder: fmt.Sprintf("%s pid %d %s", operatorName(), os.Getpid(), randomHex(4)), TTL: r.ttl, GiveUp: r.giveUp, Progress: progress(g)}
}

// parseCount reads a number or a percentage of n, of which at least 1 is meant.
func parseCount(s string, n int) (int, error) {
	if p, ok := strings.CutSuffix(s, "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || !(v > 0 && v <= 100) {
			return 0, fmt.Errorf("%q is no percentage above 0 and up to 100", s)
		}
		return max(1, int(float64(n)*v/100)), nil
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < 1 {
		return 0, fmt.Errorf("%q is no number of 1 or more and no percentage", s)
	}
	return v, nil
}

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// operatorName names the operator.
func operatorName() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, _ := os.Hostname()
	return name + "@" + host
}
