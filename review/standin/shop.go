package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/standin/shop"
)

// runShop starts four servers and discovery, and writes the configurations s1.json, s2.json, … of sidecars
// to a folder. It writes the sidecars' addresses to addresses.txt there, and a line for each execution of
// a request to a file. It runs until SIGTERM.
func runShop(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("want DIR SIDECARS RUNS, got %q", args)
	}
	dir := args[0]
	sidecars, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	runs, err := os.OpenFile(args[2], os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer runs.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	var mu sync.Mutex
	servers, err := shop.NewWith(4, func(s *shop.Shop, name string, w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is not complete: it has not come
		}
		id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
		answer := fmt.Sprintf("request %s body %x", id, sha256.Sum256(body))
		s.CountRun(id)
		mu.Lock()
		fmt.Fprintf(runs, "%s run by %s: %s key=%s\n", time.Now().Format("15:04:05.000"), name, answer, key)
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		io.WriteString(w, answer)
	})
	if err != nil {
		return err
	}
	defer servers.Close()
	var addresses string
	for n := range sidecars {
		_, address, err := servers.Config(dir, fmt.Sprint("s", n+1), n)
		if err != nil {
			return err
		}
		addresses += address + "\n"
	}
	unfinished := filepath.Join(dir, "addresses.new")
	if err := os.WriteFile(unfinished, []byte(addresses), 0o600); err != nil {
		return err
	}
	if err := os.Rename(unfinished, filepath.Join(dir, "addresses.txt")); err != nil {
		return err
	}
	<-stop
	return nil
}
