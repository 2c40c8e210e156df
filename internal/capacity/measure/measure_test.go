package measure

import (
	"os"
	"os/exec"
	"slices"
	"testing"
	"time"
)

func TestParseSizes(t *testing.T) {
	sizes, err := ParseSizes("30, 300,3000")
	if err != nil || !slices.Equal(sizes, []int{30, 300, 3000}) {
		t.Errorf("ParseSizes(\"30, 300,3000\") = %v, %v, want [30 300 3000]", sizes, err)
	}
	for _, bad := range []string{"", "1,", "x", "0", "-3"} {
		if _, err := ParseSizes(bad); err == nil {
			t.Errorf("ParseSizes(%q) succeeded, want an error", bad)
		}
	}
}

// ProcessUsage reports the processor time and the descriptor that this process uses between two calls,
// and a peak of memory that is not below the resident memory.
func TestProcessUsage(t *testing.T) {
	before, err := ProcessUsage(os.Getpid())
	if err != nil {
		t.Fatalf("ProcessUsage before the use: %v", err)
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatalf("open a file to use a descriptor: %v", err)
	}
	defer file.Close()
	for start := time.Now(); time.Since(start) < 50*time.Millisecond; {
	}
	after, err := ProcessUsage(os.Getpid())
	if err != nil {
		t.Fatalf("ProcessUsage after the use: %v", err)
	}
	if after.Processor <= before.Processor || after.Resident <= 0 || after.PeakResident < after.Resident {
		t.Errorf("got usage before %+v, after %+v; want more processor time, resident memory above 0, and a peak of at least the resident memory", before, after)
	}
	if after.Descriptors != before.Descriptors+1 {
		t.Errorf("got %d descriptors, want %d, one more than before", after.Descriptors, before.Descriptors+1)
	}
}

// RunCommand returns the cost of a command that succeeds, and an error for one that it kills.
func TestRunCommand(t *testing.T) {
	cost, err := RunCommand(exec.Command("sleep", "0.1"), time.Minute)
	if err != nil {
		t.Fatalf("RunCommand with sleep 0.1: %v", err)
	}
	if cost.Elapsed < 100*time.Millisecond || cost.PeakResident == 0 || cost.Descriptors == 0 {
		t.Errorf("RunCommand with sleep 0.1 = %+v, want at least 100ms elapsed, and memory and descriptors above 0", cost)
	}
	if _, err := RunCommand(exec.Command("sleep", "60"), time.Millisecond); err == nil {
		t.Error("RunCommand with a killed process succeeded, want an error")
	}
}
