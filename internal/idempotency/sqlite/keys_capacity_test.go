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

// maxCapacityRecord is the bound of the record's file in the capacity benchmark.
const maxCapacityRecord = 256 << 20

// capacityAnswer is the length of the answers that are kept, in bytes.
const capacityAnswer = 512

// capacityCommit is how many keys share a commit while the record is filled.
const capacityCommit = 100

// BenchmarkKeysCapacity measures a record by the number of its keys: bytes of its file for
// each, one further key from its claim to its answer in three commits, and the start on the
// file. Run it with -benchtime=200x.
func BenchmarkKeysCapacity(b *testing.B) {
	for _, keys := range []int{1000, 3000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			config := cfg(filepath.Join(b.TempDir(), "record.db"))
			config.MaxBytes = maxCapacityRecord
			fillRecord(b, config, keys)
			file, err := os.Stat(config.Path)
			if err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			store, err := Open(ctx, config)
			if err != nil {
				b.Fatal(err)
			}
			opened := time.Since(began)
			defer store.Close()
			key := 0
			for b.Loop() {
				for _, operation := range opsOfKey(fmt.Sprint("further-", key)) {
					applyAll(b, store, operation)
				}
				key++
			}
			b.ReportMetric(float64(file.Size())/float64(keys), "file-B/key")
			b.ReportMetric(opened.Seconds()*1000, "ms-to-open")
		})
	}
}

// opsOfKey is what a request with a key brings to the record.
func opsOfKey(key string) []*idempotency.Op {
	end := bt.End(key, key, idempotency.Answered)
	end.Answer = bytes.Repeat([]byte{'a'}, capacityAnswer)
	return []*idempotency.Op{bt.Claim(key, key, time.Hour), bt.Send(key, key, 0), end}
}

func applyAll(b *testing.B, store *Store, operations ...*idempotency.Op) {
	b.Helper()
	if err := store.Apply(ctx, operations); err != nil {
		b.Fatal(err)
	}
	for _, operation := range operations {
		if operation.Result != idempotency.Granted {
			b.Fatalf("%s: %v", operation.Key, operation.Result)
		}
	}
}

// fillRecord makes a record with so many answered keys.
func fillRecord(b *testing.B, config Config, keys int) {
	b.Helper()
	store, err := Open(ctx, config)
	if err != nil {
		b.Fatal(err)
	}
	var operations []*idempotency.Op
	for key := range keys {
		operations = append(operations, opsOfKey(fmt.Sprint("key-", key))...)
		if (key+1)%capacityCommit == 0 || key+1 == keys {
			applyAll(b, store, operations...)
			operations = nil
		}
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}
