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

// handoverPath returns the folder of the sockets for the hand-over from a previous process to a
// new one.
func (a *Agent) handoverPath() string { return filepath.Join(a.config.StateDir, "meet") }

// configPath returns the path of the configuration that the agent renders for an instance.
func (a *Agent) configPath(name string) string {
	return filepath.Join(a.config.StateDir, "instances", name+".json")
}

// metricsPath returns the path of the metrics journal.
func (a *Agent) metricsPath() string { return filepath.Join(a.config.StateDir, "figures") }

// lossesPath returns the path of the file that counts power losses.
func (a *Agent) lossesPath() string { return filepath.Join(a.config.StateDir, "losses.json") }

// loadStateID returns the random ID of the state folder from the file at path, and creates it at
// the first start. The ID distinguishes this agent's processes from those of another agent with
// the same name on this machine.
func loadStateID(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil && len(b) > 0 {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	id := randomID()
	return id, writeFile(path, []byte(id))
}

// randomID returns 8 random bytes in hex, for a launch ID, a state folder's ID or a seed.
func randomID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeFile replaces a file atomically. The data is synced before the file is replaced.
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
// the end of the file. It also returns the offset after the last byte that it read. A file that
// does not exist counts as empty.
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

// searchedLogBytes is the size of the part of a log that lastLogProblem searches.
const searchedLogBytes = 16 << 10

// lastLogProblem returns the last line in the tail of a log that is a warning or an error, or a
// text that refers to the log if there is none. The line is cut to 300 characters.
func lastLogProblem(path string) string {
	b, _, err := readTail(path, -searchedLogBytes, searchedLogBytes)
	if err == nil {
		lines := strings.Split(string(b), "\n")
		for _, line := range slices.Backward(lines) {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "level=WARN") {
				return fmt.Sprintf("%.300s", line)
			}
		}
	}
	return "see the instance's log for the reason"
}
