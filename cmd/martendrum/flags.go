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

// runFlags are the flags of commands that run an operation.
type runFlags struct {
	ttl, giveUp time.Duration
}

func (r *runFlags) add(c *cobra.Command) {
	c.Flags().DurationVar(&r.ttl, "lease", 15*time.Second, "how long the instances stay ours if this command stalls")
	c.Flags().DurationVar(&r.giveUp, "give-up", 30*time.Second, "how long a silent agent, or a change that can't go on, is waited for")
}

func (r *runFlags) options(g *global) client.Options {
	return client.Options{
		LeaseHolder: fmt.Sprintf("%s pid %d %s", operatorName(), os.Getpid(), randomHex(4)),
		TTL:         r.ttl,
		GiveUp:      r.giveUp,
		Progress:    progress(g),
	}
}

// parseCount reads a number, or a percentage of n, which is rounded down to 1 at least.
func parseCount(s string, n int) (int, error) {
	if text, ok := strings.CutSuffix(s, "%"); ok {
		percentage, err := strconv.ParseFloat(text, 64)
		if err != nil || !(percentage > 0 && percentage <= 100) {
			return 0, fmt.Errorf("%q is no percentage above 0 and up to 100", s)
		}
		return max(1, int(float64(n)*percentage/100)), nil
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < 1 {
		return 0, fmt.Errorf("%q is no number of 1 or more and no percentage", s)
	}
	return v, nil
}

// randomHex returns n random bytes in hex.
func randomHex(n int) string {
	data := make([]byte, n)
	rand.Read(data)
	return hex.EncodeToString(data)
}

// operatorName returns the user and the host of the operator.
func operatorName() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, _ := os.Hostname()
	return name + "@" + host
}
