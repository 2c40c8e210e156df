package sqlite

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	bt "martendrum/internal/idempotency/backendtest"
)

// capacityMaxBytes is the maximum size of the store's file in the capacity benchmark.
const capacityMaxBytes = 256 << 20

// capacityAnswerBytes is the length of the answers that are stored, in bytes.
const capacityAnswerBytes = 512

// keysPerCommit is how many keys are written in one commit while the store is filled.
const keysPerCommit = 100

// BenchmarkKeysCapacity measures stores with different numbers of keys: the size of the file
// per key, the time to open the file, and the time to write a further key in three commits
// from its claim to its answer. Run it with -benchtime=200x.
func BenchmarkKeysCapacity(b *testing.B) {
	for _, keys := range []int{1000, 3000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			config := testConfig(filepath.Join(b.TempDir(), "record.db"))
			config.MaxBytes = capacityMaxBytes
			fillStore(b, config, keys)
			file, err := os.Stat(config.Path)
			if err != nil {
				b.Fatalf("read the size of the store's file: %v", err)
			}
			started := time.Now()
			store, err := Open(ctx, config)
			if err != nil {
				b.Fatalf("open the filled store: %v", err)
			}
			openDuration := time.Since(started)
			defer store.Close()
			key := 0
			for b.Loop() {
				for _, op := range opsOfKey(fmt.Sprint("further-", key)) {
					applyAll(b, store, op)
				}
				key++
			}
			b.ReportMetric(float64(file.Size())/float64(keys), "file-B/key")
			b.ReportMetric(openDuration.Seconds()*1000, "ms-to-open")
		})
	}
}

// opsOfKey returns the ops of a request with a key, from its claim to its answer.
func opsOfKey(key string) []*idempotency.Op {
	end := bt.End(key, key, idempotency.Answered)
	end.Answer = bytes.Repeat([]byte{'a'}, capacityAnswerBytes)
	return []*idempotency.Op{bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), end}
}

// applyAll applies ops in one transaction. The benchmark fails unless each is granted.
func applyAll(b *testing.B, store *Store, ops ...*idempotency.Op) {
	b.Helper()
	if err := store.Apply(ctx, ops); err != nil {
		b.Fatalf("apply %d ops: %v", len(ops), err)
	}
	for _, op := range ops {
		if op.Result != idempotency.Granted {
			b.Fatalf("op on the key %s: got result %v, want %v", op.Key, op.Result, idempotency.Granted)
		}
	}
}

// fillStore creates a store with a number of answered keys.
func fillStore(b *testing.B, config Config, keys int) {
	b.Helper()
	store, err := Open(ctx, config)
	if err != nil {
		b.Fatalf("create the store: %v", err)
	}
	var ops []*idempotency.Op
	for key := range keys {
		ops = append(ops, opsOfKey(fmt.Sprint("key-", key))...)
		if (key+1)%keysPerCommit == 0 || key+1 == keys {
			applyAll(b, store, ops...)
			ops = nil
		}
	}
	if err := store.Close(); err != nil {
		b.Fatalf("close the filled store: %v", err)
	}
}
