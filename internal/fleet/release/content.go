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

// Hash returns the hash of the release that consists of the files with these paths. overlay
// may be "".
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

// CheckOverlay returns an error if data is not a valid overlay: a JSON object without keys
// that differ between instances, or empty for none.
func CheckOverlay(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if len(data) > MaxOverlay {
		return fmt.Errorf("overlay: %d bytes; %d at most", len(data), MaxOverlay)
	}
	var object map[string]any
	if err := json.Unmarshal(data, &object); err != nil {
		return fmt.Errorf("overlay: not a JSON object: %w", err)
	}
	for _, key := range []string{"listen", "name", "seed"} {
		if _, ok := object[key]; ok {
			return fmt.Errorf("overlay: %q differs from instance to instance and can't be part of a release", key)
		}
	}
	return nil
}
