package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
)

// hashPattern is the form of a release's hash: SHA-256 in lower-case hexadecimal digits.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Valid reports whether a string has the form of a release's hash.
func Valid(hash string) bool { return hashPattern.MatchString(hash) }

// Hash returns the hash of the release that consists of the program and the overlay at these
// paths. If overlay is "", the release has the same hash as with an empty overlay.
func Hash(sidecar, overlay string) (string, error) {
	h := sha256.New()
	fmt.Fprintln(h, "martendrum release 1")
	for _, path := range []string{sidecar, overlay} {
		digest, err := fileSum(path)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(h, "%x\n", digest)
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// fileSum returns the SHA-256 of a file, or that of an empty file if path is "".
func fileSum(path string) ([]byte, error) {
	h := sha256.New()
	if path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(h, f)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return h.Sum(nil), nil
}

// CheckOverlay returns an error if data is not a valid overlay. A valid one is empty, or a JSON
// object of at most MaxOverlay bytes without the keys that differ between instances.
func CheckOverlay(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if len(data) > MaxOverlay {
		return fmt.Errorf("overlay: it has %d bytes; at most %d are allowed", len(data), MaxOverlay)
	}
	var object map[string]any
	if err := json.Unmarshal(data, &object); err != nil {
		return fmt.Errorf("overlay: not a JSON object: %w", err)
	}
	for _, key := range []string{"listen", "name", "seed"} {
		if _, ok := object[key]; ok {
			return fmt.Errorf("overlay: the key %q differs between instances and can't be part of a release", key)
		}
	}
	return nil
}
