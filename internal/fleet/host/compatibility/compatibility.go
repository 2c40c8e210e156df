// Package compatibility decides which two versions of a sidecar's program may run side by
// side during a staged change, and whether one may replace the other and be rolled back.
//
// A program reports the versions of the protocols that it supports when it is run with the
// argument `versions`; a program older than that argument supports the first version of
// each. Check is pure; Query runs the program. The package does not decide what follows
// from an incompatibility.
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
	Program string `json:"program"`
	// HandOver is the protocol between the previous process and the new one (package handover).
	HandOver int `json:"hand_over"`
	// Snapshot is the format of the state that the new process takes over; one of another
	// version is ignored.
	Snapshot int `json:"snapshot"`
	// Record is the schema of the idempotency store; 0: the program supports none.
	Record int `json:"record"`
	// Agent is the interface to the agent: health call, admin endpoint, environment.
	Agent int `json:"agent"`
}

// First is the versions of a program that does not report them.
var First = Versions{HandOver: 1, Snapshot: 1, Agent: 1}

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

// Check returns nil if the program with the versions now may replace, and run next to, the
// one with the versions before, and otherwise every reason against it. A different snapshot
// is not a reason: the new process starts without it.
func Check(before, now Versions, use Use) error {
	var reasons []error
	if before.Program != "" && now.Program != "" && before.Program != now.Program {
		reasons = append(reasons, fmt.Errorf("one program is %s, the other %s", before.Program, now.Program))
	}
	if now.Agent < AgentOldest || now.Agent > AgentLatest {
		reasons = append(reasons, fmt.Errorf("it speaks version %d with its agent, which speaks %d to %d: upgrade the agent first", now.Agent, AgentOldest, AgentLatest))
	}
	if use.HandOver && before.HandOver != now.HandOver {
		reasons = append(reasons, fmt.Errorf("they speak versions %d and %d of the hand-over: with hand_over = false in the agent's file each process is stopped before the new one starts", before.HandOver, now.HandOver))
	}
	if use.Record {
		switch {
		case now.Record == 0:
			reasons = append(reasons, errors.New("it is a build without a store of record, and the instance has one: build it with -tags record"))
		case now.Record < before.Record:
			reasons = append(reasons, fmt.Errorf("it reads the record's schema %d, and that is at %d", now.Record, before.Record))
		case now.Record > before.Record && before.Record > 0 && use.MayRollBack:
			reasons = append(reasons, fmt.Errorf("it brings the record's schema from %d to %d, which the old program can't read: such a change can't be taken back, so it goes with --on-worse stop", before.Record, now.Record))
		}
	}
	return errors.Join(reasons...)
}

// The sidecar's name in Versions.Program, and the name that builds from before it was
// renamed report. The two are the same program.
const (
	currentName = "sidecar"
	formerName  = "fawnrock"
)

// queryTimeout is how long a program may take to report its versions.
const queryTimeout = time.Second

// outputTimeout is how long after the program's exit its children may keep its output open.
const outputTimeout = 100 * time.Millisecond

// maxOutput is the number of bytes of the output that are read.
const maxOutput = 4096

// Query runs a program to learn its versions. It returns First if the program does not
// report them, for whatever reason. It kills all processes that the program started.
func Query(ctx context.Context, path string) Versions {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, "versions")
	cmd.Env = []string{} // without a configuration, a program that does not know the argument exits at once
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputTimeout
	out, err := cmd.Output()
	if cmd.Process != nil {
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	}
	var v Versions
	if err != nil || json.NewDecoder(strings.NewReader(string(out[:min(len(out), maxOutput)]))).Decode(&v) != nil || v.Program == "" {
		return First
	}
	if v.Program == formerName {
		v.Program = currentName
	}
	return v
}
