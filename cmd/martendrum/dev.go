package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
	"martendrum/internal/standin/shop"
)

func devCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "dev", GroupID: "run", Short: "Run a small fleet on this machine, with nothing installed", Args: cobra.NoArgs,
		Long: `Run stand-ins for servers and discovery, an agent with its record in SQLite, sidecars
and some traffic, all on loopback, until Ctrl-C. It prints what to try in another terminal.`,
	}
	sidecar := c.Flags().String("sidecar", "", "the sidecar's program (default: beside this program, else built from source)")
	many := c.Flags().Int("sidecars", 3, "how many, 1 to 50")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *many < 1 || *many > 50 {
			return errors.New("--sidecars: want 1 to 50")
		}
		return runDev(c.Context(), *sidecar, *many, os.Stdout)
	}
	return c
}

func runDev(ctx context.Context, sidecar string, many int, out io.Writer) (err error) {
	// Output that nobody reads any more must not end this before the sidecars.
	signal.Ignore(syscall.SIGPIPE)
	dir, err := os.MkdirTemp("", "martendrum-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if sidecar, err = findSidecar(ctx, sidecar, dir, out); err != nil {
		return err
	}
	servers, err := shop.New(4, 20*time.Millisecond)
	if err != nil {
		return err
	}
	defer servers.Close()
	var toml strings.Builder
	fmt.Fprintf(&toml, "name = \"dev\"\nstate_dir = \"state\"\n[listen]\nunix = \"agent.sock\"\n[figures]\nslot = \"2s\"\n[sidecar]\nbinary = %q\n", sidecar)
	var listens []string
	for n := range many {
		name := fmt.Sprintf("shop-%d", n+1)
		path, listen, err := servers.Config(dir, name, n)
		if err != nil {
			return err
		}
		listens = append(listens, listen)
		fmt.Fprintf(&toml, "[[instance]]\nname = %q\nconfig = %q\nlabels = {zone = \"jakarta\"}\n", name, path)
	}
	inv := filepath.Join(dir, "fleet.toml")
	overlay := filepath.Join(dir, "new.json")
	for path, text := range map[string]string{
		filepath.Join(dir, "agent.toml"): toml.String(),
		inv:                              "[[host]]\nname = \"dev\"\naddress = \"unix:agent.sock\"\n",
		overlay:                          `{"limits": {"memory_mb": 96}}` + "\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	cfg, err := agent.LoadConfig(filepath.Join(dir, "agent.toml"))
	if err != nil {
		return err
	}
	a, err := agent.New(cfg, agent.Processes{}, agentstore.Record(cfg))
	if err != nil {
		return err
	}
	defer a.Close()
	defer func() {
		fmt.Fprintln(out, "stopping the sidecars")
		stop, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if e := a.StopAll(stop); err == nil {
			err = e
		}
	}()
	var wg sync.WaitGroup
	defer wg.Wait()
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	served := sendTraffic(run, &wg, listens)
	self := "martendrum"
	if exe, err := os.Executable(); err == nil {
		if self = exe; strings.Contains(exe, "go-build") {
			self = "go run ./cmd/martendrum"
		}
	}
	wg.Go(func() {
		t := time.NewTicker(10 * time.Second)
		defer t.Stop()
		for {
			select {
			case <-run.Done():
				return
			case <-t.C:
				good, bad := served()
				fmt.Fprintf(out, "traffic: %d served, %d not\n", good, bad)
			}
		}
	})
	return a.Serve(run, func([]net.Addr) {
		fmt.Fprintf(out, `A fleet of %d sidecars runs. In another terminal:

  export MARTENDRUM_FLEET=%s
  %[3]s list
  %[3]s restart --all --batch 1
  %[3]s upgrade --binary %[4]s --overlay %[5]s --canaries 1 --all
  %[3]s rollback --all
  %[3]s change start --overlay %[5]s --stages 1,100%% --least 20s --longest 2m --past 6 --warm 2s --all
  kill -9 PID, with one off the list; then list again and watch it come back

Ctrl-C ends all of it.
`, many, inv, self, sidecar, overlay)
	})
}

// findSidecar is the sidecar's program: the one given, the one beside this
// program, or built from the source in this folder.
func findSidecar(ctx context.Context, given, dir string, out io.Writer) (string, error) {
	if given != "" {
		return filepath.Abs(given)
	}
	if exe, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(exe), "sidecar")
		if st, err := os.Stat(beside); err == nil && st.Mode()&0o111 != 0 {
			return beside, nil
		}
	}
	fmt.Fprintln(out, "building the sidecar")
	path := filepath.Join(dir, "sidecar")
	if b, err := exec.CommandContext(ctx, "go", "build", "-o", path, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		return "", fmt.Errorf("no sidecar: name its program with --sidecar, or run this in the source folder (%w: %s)", err, b)
	}
	return path, nil
}

// sendTraffic sends each sidecar a few requests a second until ctx ends.
func sendTraffic(ctx context.Context, wg *sync.WaitGroup, listens []string) func() (good, bad int) {
	var mu sync.Mutex
	var good, bad int
	for n, addr := range listens {
		wg.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for id := 0; ; id++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(100*time.Millisecond + rand.N(200*time.Millisecond)):
				}
				r, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/status-check", nil)
				if err != nil {
					return
				}
				r.Header.Set("Req-Id", fmt.Sprintf("dev-%d-%d", n, id))
				r.Header.Set("Req-Kind", "status-check")
				resp, err := client.Do(r)
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				mu.Lock()
				if ok {
					good++
				} else {
					bad++
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return good, bad
	}
}
