package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
)

// lossCounter is the file that counts the host's power losses. No clock is in it.
type lossCounter struct {
	Version int   `json:"version"`
	Epoch   int64 `json:"epoch"` // losses ever
	Recent  int   `json:"recent"`
	// Returning: the waves of the last one have not all begun.
	Returning bool `json:"returning"`
}

// readLosses reads the file. One that can't be read counts as one recent loss: careful,
// and nothing else rests on it.
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
		slog.Warn("the count of power losses is not trusted", "file", a.lossesPath(), "err", err, "advice", "nothing: it is written anew; tokens in the record fence by themselves")
		return lossCounter{Version: 1, Recent: 1}
	}
	return l
}

func (a *Agent) writeLosses(l lossCounter) {
	data, err := json.Marshal(l)
	if err == nil {
		err = writeFile(a.lossesPath(), data)
	}
	if err != nil {
		slog.Warn("the count of power losses is not kept", "err", err)
	}
}
