// Command sidecar runs one balancer on real sockets between an application process and the
// servers. It owns flags, signals and the wiring of its packages, and runs until SIGTERM.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"martendrum/internal/handover"
	"martendrum/internal/ratelimitlog"
)

// agentVersion is the version of the interface between this program and its agent: the fields of
// health responses, the metrics of the admin endpoint, and the environment at the start.
const agentVersion = 1

// signals are the signals that a running sidecar handles.
type signals struct {
	terminate <-chan time.Time // the arrival of SIGTERM or an interrupt: stop
	reload    <-chan os.Signal // SIGHUP: read the configuration again
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "versions" {
		printVersions()
		return
	}
	slog.SetDefault(ratelimitlog.New(os.Stderr, slog.LevelInfo))
	on := notifySignals()
	c, err := loadConfig(os.Getenv)
	if err == nil {
		err = start(c, on)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// notifySignals subscribes to the signals that a sidecar handles. The time of the first SIGTERM or
// interrupt is recorded on its arrival, because the supervisor's timeout runs from then. The
// goroutine that receives it lives as long as the process.
func notifySignals() signals {
	raw, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(raw, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	terminate := make(chan time.Time, 1)
	go func() {
		<-raw
		terminate <- time.Now()
	}()
	return signals{terminate: terminate, reload: reload}
}

// printVersions prints the versions of the protocols that this program speaks, for an agent that may
// run it side by side with another version. The fields are those of
// internal/fleet/host/compatibility, which this program does not link.
func printVersions() {
	fmt.Printf("{\"program\": \"sidecar\", \"hand_over\": %d, \"snapshot\": %d, \"record\": %d, \"agent\": %d}\n",
		handover.Version, handover.SnapshotVersion, recordVersion(), agentVersion)
}
