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
	Version int   `json:"version"` // of the file's format
	Epoch   int64 `json:"epoch"`   // all losses of the host
	Recent  int   `json:"recent"`  // losses since the host was last stable
	// Returning is set until the last wave after the latest loss has finished.
	Returning bool `json:"returning"`
}

// readLosses reads the counter. If there is no file, the counter is zero. If the file can't be read
// or is invalid, the counter holds one recent loss, which only lengthens the time between the waves
// after a later loss, and the count of all losses begins again at 0.
func (a *Agent) readLosses() lossCounter {
	data, err := os.ReadFile(a.lossesPath())
	if errors.Is(err, fs.ErrNotExist) {
		return lossCounter{Version: 1}
	}
	var losses lossCounter
	if err == nil {
		err = json.Unmarshal(data, &losses)
	}
	if err == nil && (losses.Version != 1 || losses.Epoch < 0 || losses.Recent < 0) {
		err = fmt.Errorf("invalid counter: version %d, epoch %d, recent %d", losses.Version, losses.Epoch, losses.Recent)
	}
	if err != nil {
		slog.Warn("power loss counter ignored: it can't be read or is invalid", "file", a.lossesPath(), "err", err, "advice", "none needed: the agent rewrites the file, and the lease tokens in the record still fence stale holders")
		return lossCounter{Version: 1, Recent: 1}
	}
	return losses
}

// writeLosses writes the counter. A failed write is only logged, and the agent continues.
func (a *Agent) writeLosses(losses lossCounter) {
	data, err := json.Marshal(losses)
	if err == nil {
		err = writeFile(a.lossesPath(), data)
	}
	if err != nil {
		slog.Warn("power loss counter not written", "err", err)
	}
}
