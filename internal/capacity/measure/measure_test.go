package measure

import (
	"os"
	"os/exec"
	"slices"
	"testing"
	"time"
)

func TestSizes(t *testing.T) {
	sizes, err := Sizes("30, 300,3000")
	if err != nil || !slices.Equal(sizes, []int{30, 300, 3000}) {
		t.Errorf("%v, %v", sizes, err)
	}
	for _, bad := range []string{"", "1,", "x", "0", "-3"} {
		if _, err := Sizes(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// What this process uses shows in its usage.
func TestProcess(t *testing.T) {
	before, err := Process(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	after, err := Process(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if after.Processor <= before.Processor || after.Resident <= 0 || after.PeakResident < after.Resident {
		t.Errorf("before %+v, after %+v", before, after)
	}
	if after.Descriptors != before.Descriptors+1 {
		t.Errorf("%d descriptors, one more than %d expected", after.Descriptors, before.Descriptors)
	}
}

func TestCommand(t *testing.T) {
	cost, err := Command(exec.Command("sleep", "0.1"), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if cost.Elapsed < 100*time.Millisecond || cost.PeakResident == 0 || cost.Descriptors == 0 {
		t.Errorf("%+v", cost)
	}
	if _, err := Command(exec.Command("sleep", "60"), time.Millisecond); err == nil {
		t.Error("a command that was killed counts as a success")
	}
}
