// Package measure reads what a process has used: processor time, memory, descriptors. It
// is for the benchmarks whose results stand in docs/CAPACITY.md, and needs Linux's /proc.
package measure

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// Sizes reads a comma separated list of sizes, as a test's flag has it.
func Sizes(list string) ([]int, error) {
	var sizes []int
	for field := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || size < 1 {
			return nil, fmt.Errorf("measure: size %q: want a number above 0", field)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// HeapInUse is this process's live heap, in bytes, after a collection.
func HeapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first run does not free what finalizers and pools still reference
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Usage is what a process has used so far.
type Usage struct {
	Processor    time.Duration // of all its threads that still live
	Resident     int64         // bytes
	PeakResident int64         // bytes
	Descriptors  int64
}

// Process reads the usage of a process. A process that has ended is an error.
func Process(pid int) (Usage, error) {
	directory := fmt.Sprintf("/proc/%d", pid)
	var usage Usage
	var err error
	if usage.Processor, err = processor(directory); err != nil {
		return Usage{}, fmt.Errorf("measure: processor time of process %d: %w", pid, err)
	}
	if usage.Resident, usage.PeakResident, err = resident(directory); err != nil {
		return Usage{}, fmt.Errorf("measure: memory of process %d: %w", pid, err)
	}
	descriptors, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return Usage{}, fmt.Errorf("measure: descriptors of process %d: %w", pid, err)
	}
	usage.Descriptors = int64(len(descriptors))
	return usage, nil
}

// processor adds up the time of a process's threads. /proc/PID/stat counts in ticks of
// 10 ms, which is too coarse for a process that is nearly at rest.
func processor(directory string) (time.Duration, error) {
	threads, err := os.ReadDir(filepath.Join(directory, "task"))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(directory, "task", thread.Name(), "schedstat"))
		if errors.Is(err, fs.ErrNotExist) {
			continue // the thread has ended
		}
		if err != nil {
			return 0, err
		}
		var running int64
		if _, err := fmt.Sscan(string(text), &running); err != nil {
			return 0, err
		}
		total += time.Duration(running)
	}
	return total, nil
}

// resident reads VmRSS and VmHWM. The kernel's ru_maxrss is of no use for a child process:
// it begins with the parent's.
func resident(directory string) (now, peak int64, err error) {
	text, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return 0, 0, err
	}
	if now, err = kilobytes(string(text), "VmRSS:"); err != nil {
		return 0, 0, err
	}
	peak, err = kilobytes(string(text), "VmHWM:")
	return now, peak, err
}

func kilobytes(status, name string) (bytes int64, err error) {
	_, after, found := strings.Cut(status, name)
	if !found {
		return 0, fmt.Errorf("no %s", name)
	}
	if _, err := fmt.Sscan(after, &bytes); err != nil {
		return 0, err
	}
	return bytes << 10, nil
}

// samplingEvery is how often Command looks at its process.
const samplingEvery = 2 * time.Millisecond

// Cost is what one run of a command took.
type Cost struct {
	Elapsed      time.Duration
	Processor    time.Duration
	PeakResident int64 // bytes
	Descriptors  int64 // open at once, at most
}

// Command runs a command to its end and measures its process. It is killed after limit.
func Command(command *exec.Cmd, limit time.Duration) (Cost, error) {
	var output strings.Builder
	command.Stdout, command.Stderr = &output, &output
	began := time.Now()
	if err := command.Start(); err != nil {
		return Cost{}, fmt.Errorf("measure: %w", err)
	}
	timer := time.AfterFunc(limit, func() { command.Process.Kill() })
	defer timer.Stop()
	ended, peak := make(chan struct{}), make(chan Usage, 1)
	go func() { peak <- follow(command.Process.Pid, ended) }()
	err := command.Wait()
	elapsed := time.Since(began)
	close(ended)
	most := <-peak
	if err != nil {
		text := output.String()
		return Cost{}, fmt.Errorf("measure: %s: %w: %s", command, err, text[max(0, len(text)-outputShown):])
	}
	return Cost{
		Elapsed:      elapsed,
		Processor:    command.ProcessState.UserTime() + command.ProcessState.SystemTime(),
		PeakResident: most.PeakResident,
		Descriptors:  most.Descriptors,
	}, nil
}

// outputShown is how much of a failed command's output is shown, in bytes.
const outputShown = 2000

// follow samples a process until ended is closed, and returns the most of each.
func follow(pid int, ended <-chan struct{}) Usage {
	ticker := time.NewTicker(samplingEvery)
	defer ticker.Stop()
	var limit Usage
	for {
		select {
		case <-ended:
			return limit
		case <-ticker.C:
		}
		usage, err := Process(pid)
		if err != nil {
			continue // it has just ended
		}
		limit.Descriptors = max(limit.Descriptors, usage.Descriptors)
		limit.PeakResident = max(limit.PeakResident, usage.PeakResident)
	}
}
