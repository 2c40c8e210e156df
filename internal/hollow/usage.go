package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resources that a process uses, as counted by the kernel.
type Usage struct {
	Processor    time.Duration `json:"processor"`     // user and system time since the start
	Read         int64         `json:"read"`          // bytes read by system calls since the start, also from sockets
	Written      int64         `json:"written"`       // bytes written by system calls since the start, also to sockets
	Resident     int64         `json:"resident"`      // bytes of memory
	ResidentPeak int64         `json:"resident_peak"` // bytes of memory
	Descriptors  int           `json:"descriptors"`   // open file descriptors
}

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// ReadUsage reads the usage of a process from /proc. It returns an error if the process has ended
// or belongs to another user.
func ReadUsage(pid int) (Usage, error) {
	var usage Usage
	folder := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	// The fields follow the program's name, which may contain any character and ends at the last ")".
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	usage.Processor = time.Duration(user+system) * clockTick
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	usage.Resident = 1024 * procNumber(string(status), "VmRSS:")
	usage.ResidentPeak = 1024 * procNumber(string(status), "VmHWM:")
	transferred, err := os.ReadFile(folder + "/io")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	usage.Read = procNumber(string(transferred), "rchar:")
	usage.Written = procNumber(string(transferred), "wchar:")
	usage.Descriptors, err = Descriptors(pid)
	return usage, err
}

// Descriptors returns how many file descriptors a process has open.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("hollow: usage: %w", err)
	}
	return len(entries), nil
}

// procNumber returns the number that follows a key in a file of /proc, 0 if the key is missing.
func procNumber(text, key string) int64 {
	_, rest, found := strings.Cut(text, key)
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	value, _ := strconv.ParseInt(fields[0], 10, 64)
	return value
}
