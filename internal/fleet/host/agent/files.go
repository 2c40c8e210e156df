package agent

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// logPath returns the path of an instance's log.
func (a *Agent) logPath(name string) string {
	return filepath.Join(a.config.StateDir, "logs", name+".log")
}

// handoverPath returns the folder of the sockets over which an old process hands over to a
// new one.
func (a *Agent) handoverPath() string { return filepath.Join(a.config.StateDir, "meet") }

// configPath returns the path of the configuration that is rendered for an instance.
func (a *Agent) configPath(name string) string {
	return filepath.Join(a.config.StateDir, "instances", name+".json")
}

// metricsPath returns the path of the metrics journal.
func (a *Agent) metricsPath() string { return filepath.Join(a.config.StateDir, "figures") }

// lossesPath returns the path of the counter of power losses.
func (a *Agent) lossesPath() string { return filepath.Join(a.config.StateDir, "losses.json") }

// identity returns the random identity of the state folder and creates it at the first start.
// It distinguishes this agent's processes from those of another agent with the same name on this
// machine.
func identity(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil && len(b) > 0 {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	id := random()
	return id, writeFile(path, []byte(id))
}

// random returns a random identifier, such as of a launch or a seed.
func random() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeFile replaces a file atomically.
func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// readTail reads up to limit bytes of a file from an offset on; a negative offset counts from
// its end. It returns the offset behind what it read. A file that does not exist is empty.
func readTail(path string, offset int64, limit int) ([]byte, int64, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, 0, err
	}
	if offset < 0 {
		offset = max(0, st.Size()+offset)
	}
	if offset > st.Size() {
		offset = 0 // the file was rotated
	}
	buf := make([]byte, min(int64(limit), st.Size()-offset))
	n, err := f.ReadAt(buf, offset)
	if n < len(buf) && err != nil {
		return nil, 0, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return buf[:n], offset + int64(n), nil
}

// logTail is how much of a log is searched, in bytes.
const logTail = 16 << 10

// lastLogProblem returns the last warning or error in the tail of a log.
func lastLogProblem(path string) string {
	b, _, err := readTail(path, -logTail, logTail)
	if err == nil {
		lines := strings.Split(string(b), "\n")
		for _, line := range slices.Backward(lines) {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "level=WARN") {
				return fmt.Sprintf("%.300s", line)
			}
		}
	}
	return "its log tells why"
}
