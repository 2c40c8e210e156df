package agent

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"os"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/api"
)

// metricsJournal keeps samples over the agent's own restarts, in two files of which the
// older goes when the newer is full. Samples that are lost with it are missing
// evidence, no more: it is not synced, and a torn tail is left out.
type metricsJournal struct {
	path    string
	file    *os.File
	samples int // in f
	limit   int
}

// openMetricsJournal reads what there is and goes on behind it.
func openMetricsJournal(path string, limit int, each func(api.Sample)) (*metricsJournal, error) {
	j := &metricsJournal{path: path, limit: limit}
	for _, p := range []string{path + ".1", path} {
		f, err := os.Open(p)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		j.samples = 0
		dec := msgpack.NewDecoder(bufio.NewReader(f))
		for {
			var s api.Sample
			if err := dec.Decode(&s); err != nil {
				if !errors.Is(err, io.EOF) {
					slog.Warn("figures: the rest of a file can't be read and is left out", "file", p, "after", j.samples, "err", err)
				}
				break
			}
			j.samples++
			each(s)
		}
		f.Close()
	}
	// Behind a torn tail nothing could be read: the next sample begins a file.
	if err := j.rotate(); err != nil {
		return nil, err
	}
	return j, nil
}

// rotate begins a new file, and keeps the one before it.
func (j *metricsJournal) rotate() error {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
	if st, err := os.Stat(j.path); err == nil && st.Size() > 0 {
		if err := os.Rename(j.path, j.path+".1"); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(j.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	j.file, j.samples = f, 0
	return err
}

func (j *metricsJournal) write(ss []api.Sample) error {
	if j.file == nil || j.samples+len(ss) > j.limit {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	var b []byte
	for n := range ss {
		one, err := msgpack.Marshal(&ss[n])
		if err != nil {
			return err
		}
		b = append(b, one...)
	}
	j.samples += len(ss)
	_, err := j.file.Write(b)
	return err
}
