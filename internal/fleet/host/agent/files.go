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

func (a *Agent) logPath(name string) string {
	return filepath.Join(a.config.StateDir, "logs", name+".log")
}

// handoverPath is the folder in which an old process and a new one find each other.
func (a *Agent) handoverPath() string { return filepath.Join(a.config.StateDir, "meet") }

func (a *Agent) configPath(name string) string {
	return filepath.Join(a.config.StateDir, "instances", name+".json")
}

func (a *Agent) metricsPath() string { return filepath.Join(a.config.StateDir, "figures") }

func (a *Agent) lossesPath() string { return filepath.Join(a.config.StateDir, "losses.json") }

// identity is the state folder's own name, made once. Another agent of the same
// name on this machine has another folder, and its sidecars are not taken for ours.
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

// random is a new name for a launch, a seed or the like.
func random() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeFile replaces a file whole or not at all.
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

// readTail reads the end of a file, or from an offset on.
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
		offset = 0 // it was rotated
	}
	buf := make([]byte, min(int64(limit), st.Size()-offset))
	n, err := f.ReadAt(buf, offset)
	if n < len(buf) && err != nil {
		return nil, 0, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return buf[:n], offset + int64(n), nil
}

// lastLogProblem is the last warning or error in a log.
func lastLogProblem(path string) string {
	b, _, err := readTail(path, -16<<10, 16<<10)
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
