package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used, by the kernel's count.
type Usage struct {
	Processor    time.Duration `json:"processor"`
	Read         int64         `json:"read"`    // bytes by system calls, those of sockets among them
	Written      int64         `json:"written"` // likewise
	Resident     int64         `json:"resident"`
	ResidentPeak int64         `json:"resident_peak"`
	Descriptors  int           `json:"descriptors"`
}

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// ReadUsage reads a process's usage from the kernel.
func ReadUsage(pid int) (Usage, error) {
	var usage Usage
	folder := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	// The fields begin behind the name, which may hold anything but ends with the last ")".
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	usage.Processor = time.Duration(user+system) * clockTick
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	usage.Resident = 1024 * number(string(status), "VmRSS:")
	usage.ResidentPeak = 1024 * number(string(status), "VmHWM:")
	transferred, err := os.ReadFile(folder + "/io")
	if err != nil {
		return usage, fmt.Errorf("hollow: usage: %w", err)
	}
	usage.Read = number(string(transferred), "rchar:")
	usage.Written = number(string(transferred), "wchar:")
	usage.Descriptors, err = Descriptors(pid)
	return usage, err
}

// Descriptors is how many a process has open.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("hollow: usage: %w", err)
	}
	return len(entries), nil
}

// number is the one behind a key, 0 if it is not there.
func number(text, key string) int64 {
	_, rest, found := strings.Cut(text, key)
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	value, _ := strconv.ParseInt(fields[0], 10, 64)
	return value
}
