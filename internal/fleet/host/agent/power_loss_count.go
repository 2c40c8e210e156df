package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
)

// lossCounter is the content of the file that counts the host's power losses. It holds no time:
// the clock may be wrong after a power loss.
type lossCounter struct {
	Version int   `json:"version"`
	Epoch   int64 `json:"epoch"`  // all losses of the host
	Recent  int   `json:"recent"` // losses since the host was last stable
	// Returning says that not all waves after the latest loss have started.
	Returning bool `json:"returning"`
}

// readLosses reads the counter. A file that can't be read counts as one recent loss, which only
// slows the waves of a later one.
func (a *Agent) readLosses() lossCounter {
	data, err := os.ReadFile(a.lossesPath())
	if errors.Is(err, fs.ErrNotExist) {
		return lossCounter{Version: 1}
	}
	var l lossCounter
	if err == nil {
		err = json.Unmarshal(data, &l)
	}
	if err == nil && (l.Version != 1 || l.Epoch < 0 || l.Recent < 0) {
		err = fmt.Errorf("version %d, epoch %d, recent %d", l.Version, l.Epoch, l.Recent)
	}
	if err != nil {
		slog.Warn("power loss counter not trusted", "file", a.lossesPath(), "err", err, "advice", "nothing: it is written anew; tokens in the record fence by themselves")
		return lossCounter{Version: 1, Recent: 1}
	}
	return l
}

// writeLosses writes the counter. A failed write is only logged: the agent serves on.
func (a *Agent) writeLosses(l lossCounter) {
	data, err := json.Marshal(l)
	if err == nil {
		err = writeFile(a.lossesPath(), data)
	}
	if err != nil {
		slog.Warn("power loss counter not written", "err", err)
	}
}
