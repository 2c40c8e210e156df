// Package compatibility decides whether two versions of a sidecar's program may run side by
// side during a staged change, and whether one may replace the other and be rolled back.
//
// A program reports the versions of the protocols that it supports when it is run with the
// argument `versions`. A program from before this argument was introduced supports the first
// version of each protocol. Query runs a program to learn its versions; Check compares the
// versions of two programs and runs nothing. The caller decides what to do about an
// incompatibility.
package compatibility

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Versions are the versions of the protocols and formats that a program supports.
type Versions struct {
	Program string `json:"program"` // name of the program
	// HandOver is the version of the protocol between the previous process and the new one
	// (package handover).
	HandOver int `json:"hand_over"`
	// Snapshot is the version of the format of the state that the new process takes over. A
	// snapshot of another version is ignored.
	Snapshot int `json:"snapshot"`
	// Record is the version of the idempotency store's schema; 0: the program has no support for
	// a store.
	Record int `json:"record"`
	// Agent is the version of the interface to the agent: health call, admin endpoint and
	// environment variables.
	Agent int `json:"agent"`
}

// FirstVersions holds the versions of a program that does not report them: the first of each, and no
// support for an idempotency store.
var FirstVersions = Versions{HandOver: 1, Snapshot: 1, Agent: 1}

// AgentOldest and AgentLatest are the range of Versions.Agent that this build's agent
// supports.
const (
	AgentOldest = 1
	AgentLatest = 1
)

// Use is how an instance uses its program.
type Use struct {
	HandOver    bool // upgrades start the new process next to the previous one
	Record      bool // the instance has an idempotency store
	MayRollBack bool // the change may have to be rolled back
}

// Check returns nil if the next program may replace the previous one and run next to it, and
// otherwise an error with all reasons against that. A different version of the snapshot is not
// a reason: the new process starts without the snapshot.
func Check(previous, next Versions, use Use) error {
	var reasons []error
	if previous.Program != "" && next.Program != "" && previous.Program != next.Program {
		reasons = append(reasons, fmt.Errorf("they are different programs: one is %s, the other %s", previous.Program, next.Program))
	}
	if next.Agent < AgentOldest || next.Agent > AgentLatest {
		reasons = append(reasons, fmt.Errorf("the new program supports version %d of the interface to the agent, and this agent versions %d to %d: upgrade the agent first", next.Agent, AgentOldest, AgentLatest))
	}
	if use.HandOver && previous.HandOver != next.HandOver {
		reasons = append(reasons, fmt.Errorf("the programs support versions %d and %d of the hand-over: set hand_over = false in the agent's configuration to stop each process before the new one starts", previous.HandOver, next.HandOver))
	}
	if use.Record {
		switch {
		case next.Record == 0:
			reasons = append(reasons, errors.New("the instance has an idempotency store, which the new program does not support: build it with -tags record"))
		case next.Record < previous.Record:
			reasons = append(reasons, fmt.Errorf("the new program supports version %d of the idempotency store's schema, and the store has version %d", next.Record, previous.Record))
		case next.Record > previous.Record && previous.Record > 0 && use.MayRollBack:
			reasons = append(reasons, fmt.Errorf("the new program upgrades the idempotency store's schema from version %d to %d, which the previous program can't read: such a change can't be rolled back, so it needs --on-worse stop", previous.Record, next.Record))
		}
	}
	return errors.Join(reasons...)
}

// The names of the sidecar in Versions.Program. Builds from before the sidecar was renamed
// report formerName; Query replaces it, as both names are of the same program.
const (
	currentName = "sidecar"
	formerName  = "fawnrock"
)

// queryTimeout limits how long a program may take to report its versions.
const queryTimeout = time.Second

// outputTimeout limits how long the program's children may keep its output open after its
// exit.
const outputTimeout = 100 * time.Millisecond

// maxOutput is the maximum number of bytes of the output that are parsed.
const maxOutput = 4096

// Query runs the program at path to learn its versions. It returns FirstVersions if the program can't
// be run, fails, or prints no valid versions in time. It kills all processes that the program
// started.
func Query(ctx context.Context, path string) Versions {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, "versions")
	cmd.Env = []string{} // without a configuration, a program that ignores the argument exits at once
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputTimeout
	out, err := cmd.Output()
	if cmd.Process != nil {
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	}
	var versions Versions
	if err != nil || json.NewDecoder(strings.NewReader(string(out[:min(len(out), maxOutput)]))).Decode(&versions) != nil || versions.Program == "" {
		return FirstVersions
	}
	if versions.Program == formerName {
		versions.Program = currentName
	}
	return versions
}
