// Package measure reads the resource usage of a process: processor time, memory and file
// descriptors. It serves the benchmarks whose results docs/CAPACITY.md shows. It reads /proc and so
// runs on Linux only.
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

// ParseSizes parses a comma-separated list of sizes, the value of a benchmark's flag. It returns an
// error if an element is not an integer above 0.
func ParseSizes(list string) ([]int, error) {
	var sizes []int
	for field := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || size < 1 {
			return nil, fmt.Errorf("measure: size %q: want an integer above 0", field)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// HeapInUse collects garbage and returns the size of this process's live heap, in bytes.
func HeapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection does not free what finalizers and pools still reference
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Usage is the resource usage of a process at one moment.
type Usage struct {
	Processor    time.Duration // consumed so far by the threads that have not ended
	Resident     int64         // resident memory, in bytes
	PeakResident int64         // largest resident memory so far, in bytes
	Descriptors  int64         // open file descriptors
}

// ProcessUsage returns the resource usage of a running process. It returns an error if the process has
// ended.
func ProcessUsage(pid int) (Usage, error) {
	directory := fmt.Sprintf("/proc/%d", pid)
	var usage Usage
	var err error
	if usage.Processor, err = processorTime(directory); err != nil {
		return Usage{}, fmt.Errorf("measure: processor time of process %d: %w", pid, err)
	}
	if usage.Resident, usage.PeakResident, err = residentMemory(directory); err != nil {
		return Usage{}, fmt.Errorf("measure: memory of process %d: %w", pid, err)
	}
	descriptors, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return Usage{}, fmt.Errorf("measure: descriptors of process %d: %w", pid, err)
	}
	usage.Descriptors = int64(len(descriptors))
	return usage, nil
}

// processorTime adds up the processor time of a process's running threads, from the schedstat file
// of each. The ticks of 10 ms in /proc/PID/stat are too coarse for a process that is nearly idle.
func processorTime(directory string) (time.Duration, error) {
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
		var nanoseconds int64 // the first field: time on a processor
		if _, err := fmt.Sscan(string(text), &nanoseconds); err != nil {
			return 0, err
		}
		total += time.Duration(nanoseconds)
	}
	return total, nil
}

// residentMemory returns the resident memory (VmRSS) and its peak (VmHWM), in bytes. ru_maxrss
// can't be used for the peak of a child process: it starts at the value of the parent.
func residentMemory(directory string) (current, peak int64, err error) {
	text, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return 0, 0, err
	}
	if current, err = statusBytes(string(text), "VmRSS:"); err != nil {
		return 0, 0, err
	}
	peak, err = statusBytes(string(text), "VmHWM:")
	return current, peak, err
}

// statusBytes returns a field of /proc/PID/status that is given in kB, in bytes.
func statusBytes(status, name string) (bytes int64, err error) {
	_, after, found := strings.Cut(status, name)
	if !found {
		return 0, fmt.Errorf("/proc/PID/status has no field %s", name)
	}
	if _, err := fmt.Sscan(after, &bytes); err != nil {
		return 0, err
	}
	return bytes << 10, nil
}

// samplingInterval is the time between two samples of the process that RunCommand runs.
const samplingInterval = 2 * time.Millisecond

// Cost is the resource usage of one run of a command.
type Cost struct {
	Elapsed      time.Duration
	Processor    time.Duration
	PeakResident int64 // largest resident memory, in bytes
	Descriptors  int64 // largest number of file descriptors that were open at once
}

// RunCommand runs a command, waits for its end and returns what its process used. The peaks are
// sampled, so that RunCommand can miss short ones. It replaces the command's Stdout and Stderr, kills
// the process after limit, and returns an error with the end of the output if the process is killed
// or fails.
func RunCommand(command *exec.Cmd, limit time.Duration) (Cost, error) {
	var output strings.Builder
	command.Stdout, command.Stderr = &output, &output
	start := time.Now()
	if err := command.Start(); err != nil {
		return Cost{}, fmt.Errorf("measure: %w", err)
	}
	timer := time.AfterFunc(limit, func() { command.Process.Kill() })
	defer timer.Stop()
	ended, peaks := make(chan struct{}), make(chan Usage, 1)
	go func() { peaks <- samplePeaks(command.Process.Pid, ended) }()
	err := command.Wait()
	elapsed := time.Since(start)
	close(ended)
	peak := <-peaks
	if err != nil {
		text := output.String()
		return Cost{}, fmt.Errorf("measure: %s: %w: %s", command, err, text[max(0, len(text)-maxOutputBytes):])
	}
	return Cost{
		Elapsed:      elapsed,
		Processor:    command.ProcessState.UserTime() + command.ProcessState.SystemTime(),
		PeakResident: peak.PeakResident,
		Descriptors:  peak.Descriptors,
	}, nil
}

// maxOutputBytes is how much of a failed command's output its error contains.
const maxOutputBytes = 2000

// samplePeaks samples a process until ended is closed. It returns the largest PeakResident and the
// largest Descriptors of all samples; the other fields of the usage are 0.
func samplePeaks(pid int, ended <-chan struct{}) Usage {
	ticker := time.NewTicker(samplingInterval)
	defer ticker.Stop()
	var peak Usage
	for {
		select {
		case <-ended:
			return peak
		case <-ticker.C:
		}
		usage, err := ProcessUsage(pid)
		if err != nil {
			continue // the process has just ended
		}
		peak.Descriptors = max(peak.Descriptors, usage.Descriptors)
		peak.PeakResident = max(peak.PeakResident, usage.PeakResident)
	}
}
