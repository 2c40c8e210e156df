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
	"martendrum/internal/protocol"
	"martendrum/internal/standin/shop"
)

// devCommand returns the command that runs a small fleet on this machine, for first steps.
func devCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "dev", GroupID: "run", Short: "Run a small fleet on this machine, with nothing installed", Args: cobra.NoArgs,
		Long: `Run stand-ins for servers and discovery, an agent with its record in SQLite, sidecars
and some traffic, all on loopback, until Ctrl-C. It prints what to try in another terminal.`,
	}
	sidecar := c.Flags().String("sidecar", "", "the sidecar's program (default: beside this program, else built from source)")
	sidecars := c.Flags().Int("sidecars", 3, "how many, 1 to 50")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *sidecars < 1 || *sidecars > 50 {
			return errors.New("--sidecars: want 1 to 50")
		}
		return runDev(c.Context(), *sidecar, *sidecars, os.Stdout)
	}
	return c
}

// devFleet holds the paths of a development fleet's files and the addresses of its sidecars.
type devFleet struct {
	agentConfig string
	inventory   string
	overlay     string   // an example for the commands that take --overlay
	addresses   []string // where the sidecars listen, as HOST:PORT
}

const (
	devServers        = 4
	devServerDelay    = 20 * time.Millisecond
	devStopTimeout    = 20 * time.Second
	devReportInterval = 10 * time.Second
)

// runDev runs a fleet on this machine until ctx ends, then stops its sidecars and removes its files.
func runDev(ctx context.Context, sidecar string, sidecars int, out io.Writer) (err error) {
	// A write to a closed output must not end this program, which has to stop the sidecars first.
	signal.Ignore(syscall.SIGPIPE)
	dir, err := os.MkdirTemp("", "martendrum-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if sidecar, err = findSidecar(ctx, sidecar, dir, out); err != nil {
		return err
	}
	servers, err := shop.New(devServers, devServerDelay)
	if err != nil {
		return err
	}
	defer servers.Close()
	fleet, err := writeDevFleet(dir, sidecar, sidecars, servers)
	if err != nil {
		return err
	}
	config, err := agent.LoadConfig(fleet.agentConfig)
	if err != nil {
		return err
	}
	a, err := agent.New(config, agent.LocalMachine{}, agentstore.Opener(config))
	if err != nil {
		return err
	}
	defer a.Close()
	defer func() {
		fmt.Fprintln(out, "stopping the sidecars")
		stopContext, cancel := context.WithTimeout(context.Background(), devStopTimeout)
		defer cancel()
		if stopErr := a.StopAll(stopContext); err == nil {
			err = stopErr
		}
	}()
	var wg sync.WaitGroup
	defer wg.Wait()
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	counts := sendTraffic(runContext, &wg, fleet.addresses)
	wg.Go(func() { reportTraffic(runContext, counts, out) })
	return a.Serve(runContext, func([]net.Addr) { printDevHelp(out, sidecars, sidecar, fleet) })
}

// writeDevFleet writes the configuration of the agent, its sidecars and the inventory to a folder.
func writeDevFleet(dir, sidecar string, sidecars int, servers *shop.Shop) (*devFleet, error) {
	fleet := &devFleet{
		agentConfig: filepath.Join(dir, "agent.toml"),
		inventory:   filepath.Join(dir, "fleet.toml"),
		overlay:     filepath.Join(dir, "new.json"),
	}
	var config strings.Builder
	fmt.Fprintf(&config, "name = \"dev\"\nstate_dir = \"state\"\n[listen]\nunix = \"agent.sock\"\n[figures]\nslot = \"2s\"\n[sidecar]\nbinary = %q\n", sidecar)
	for n := range sidecars {
		name := fmt.Sprintf("shop-%d", n+1)
		path, address, err := servers.Config(dir, name, n)
		if err != nil {
			return nil, err
		}
		fleet.addresses = append(fleet.addresses, address)
		fmt.Fprintf(&config, "[[instance]]\nname = %q\nconfig = %q\nlabels = {zone = \"jakarta\"}\n", name, path)
	}
	for path, text := range map[string]string{
		fleet.agentConfig: config.String(),
		fleet.inventory:   "[[host]]\nname = \"dev\"\naddress = \"unix:agent.sock\"\n",
		fleet.overlay:     `{"limits": {"memory_mb": 96}}` + "\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// reportTraffic prints the counts of requests every devReportInterval until ctx ends.
func reportTraffic(ctx context.Context, counts func() (served, failed int), out io.Writer) {
	ticker := time.NewTicker(devReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			served, failed := counts()
			fmt.Fprintf(out, "traffic: %d requests served, %d failed\n", served, failed)
		}
	}
}

// printDevHelp prints commands to try on the fleet.
func printDevHelp(out io.Writer, sidecars int, sidecar string, fleet *devFleet) {
	self := "martendrum"
	if executable, err := os.Executable(); err == nil {
		if self = executable; strings.Contains(executable, "go-build") {
			self = "go run ./cmd/martendrum"
		}
	}
	fmt.Fprintf(out, `A fleet of %d sidecars is running. To try in another terminal:

  export MARTENDRUM_FLEET=%s
  %[3]s list
  %[3]s restart --all --batch 1
  %[3]s upgrade --binary %[4]s --overlay %[5]s --canaries 1 --all
  %[3]s rollback --all
  %[3]s change start --overlay %[5]s --stages 1,100%% --least 20s --longest 2m --past 6 --warm 2s --all
  kill -9 PID, with a PID from the list; then list again: the agent has restarted the sidecar

Ctrl-C stops the whole fleet.
`, sidecars, fleet.inventory, self, sidecar, fleet.overlay)
}

// findSidecar returns the path of the sidecar's program: the given one if it is not empty, the one
// in the folder of this program, or one that is built to dir from the source in the current folder.
func findSidecar(ctx context.Context, given, dir string, out io.Writer) (string, error) {
	if given != "" {
		return filepath.Abs(given)
	}
	if executable, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(executable), "sidecar")
		if info, err := os.Stat(sibling); err == nil && info.Mode()&0o111 != 0 {
			return sibling, nil
		}
	}
	fmt.Fprintln(out, "building the sidecar")
	path := filepath.Join(dir, "sidecar")
	if b, err := exec.CommandContext(ctx, "go", "build", "-o", path, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the sidecar failed: name its program with --sidecar, or run this in the source folder (%w: %s)", err, b)
	}
	return path, nil
}

// sendTraffic sends each sidecar a few requests per second, in goroutines of wg that end with ctx.
// The returned function returns the counts of requests so far.
func sendTraffic(ctx context.Context, wg *sync.WaitGroup, addresses []string) func() (served, failed int) {
	var mu sync.Mutex
	var served, failed int
	for n, address := range addresses {
		wg.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for id := 0; ; id++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(100*time.Millisecond + rand.N(200*time.Millisecond)):
				}
				request, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/status-check", nil)
				if err != nil {
					return
				}
				request.Header.Set(protocol.RequestID, fmt.Sprintf("dev-%d-%d", n, id))
				request.Header.Set(protocol.RequestClass, "status-check")
				ok := succeeds(client, request)
				mu.Lock()
				if ok {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return served, failed
	}
}

// succeeds sends a request, reads the response and reports whether its status is 200.
func succeeds(client *http.Client, request *http.Request) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
