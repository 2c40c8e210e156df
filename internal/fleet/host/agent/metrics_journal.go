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

// metricsJournal retains samples across restarts of the agent, in two files. When the newer file
// is full, it replaces the older one. Writes are not synced, and a torn record at the end of a
// file is ignored: the loss of samples only leaves the canary analysis with less evidence.
type metricsJournal struct {
	path    string
	file    *os.File
	samples int // in file
	limit   int // samples in a file
}

// openMetricsJournal calls restore for each sample in the journal at path, the earliest first. It
// then starts a new file, because samples appended after a torn record could not be read. limit is
// the number of samples in a file.
func openMetricsJournal(path string, limit int, restore func(api.Sample)) (*metricsJournal, error) {
	j := &metricsJournal{path: path, limit: limit}
	for _, p := range []string{path + ".1", path} {
		if err := readSamples(p, restore); err != nil {
			return nil, err
		}
	}
	if err := j.rotate(); err != nil {
		return nil, err
	}
	return j, nil
}

// readSamples calls restore for each sample of a file, up to the first one that can't be read. A
// file that does not exist counts as empty.
func readSamples(path string, restore func(api.Sample)) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	decoder := msgpack.NewDecoder(bufio.NewReader(f))
	for n := 0; ; n++ {
		var sample api.Sample
		if err := decoder.Decode(&sample); err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Warn("ignored the rest of a metrics journal that can't be read", "file", path, "after", n, "err", err)
			}
			return nil
		}
		restore(sample)
	}
}

// rotate starts a new file and retains the previous one with the suffix .1.
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

// write appends samples, to a new file if they don't fit into the current one.
func (j *metricsJournal) write(samples []api.Sample) error {
	if j.file == nil || j.samples+len(samples) > j.limit {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	var data []byte
	for n := range samples {
		encoded, err := msgpack.Marshal(&samples[n])
		if err != nil {
			return err
		}
		data = append(data, encoded...)
	}
	j.samples += len(samples)
	_, err := j.file.Write(data)
	return err
}
