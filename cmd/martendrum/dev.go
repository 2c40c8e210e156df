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

// devCommand returns the command that runs a fleet for a first try.
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

// devFleet is the files and addresses of a development fleet.
type devFleet struct {
	agentConfig string
	inventory   string
	overlay     string // an example for upgrade
	addresses   []string
}

const (
	devServers     = 4
	devServerDelay = 20 * time.Millisecond
	devStopTimeout = 20 * time.Second
	devReportEvery = 10 * time.Second
)

// runDev runs a fleet on this machine until ctx ends.
func runDev(ctx context.Context, sidecar string, sidecars int, out io.Writer) (err error) {
	// A closed output must not end the program before the sidecars.
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
	a, err := agent.New(config, agent.Processes{}, agentstore.Record(config))
	if err != nil {
		return err
	}
	defer a.Close()
	defer func() {
		fmt.Fprintln(out, "stopping the sidecars")
		stop, cancel := context.WithTimeout(context.Background(), devStopTimeout)
		defer cancel()
		if e := a.StopAll(stop); err == nil {
			err = e
		}
	}()
	var wg sync.WaitGroup
	defer wg.Wait()
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	served := sendTraffic(run, &wg, fleet.addresses)
	wg.Go(func() { reportTraffic(run, served, out) })
	return a.Serve(run, func([]net.Addr) { printDevHelp(out, sidecars, sidecar, fleet) })
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

// reportTraffic prints the counts of requests until ctx ends.
func reportTraffic(ctx context.Context, served func() (good, bad int), out io.Writer) {
	ticker := time.NewTicker(devReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			good, bad := served()
			fmt.Fprintf(out, "traffic: %d served, %d not\n", good, bad)
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
	fmt.Fprintf(out, `A fleet of %d sidecars runs. In another terminal:

  export MARTENDRUM_FLEET=%s
  %[3]s list
  %[3]s restart --all --batch 1
  %[3]s upgrade --binary %[4]s --overlay %[5]s --canaries 1 --all
  %[3]s rollback --all
  %[3]s change start --overlay %[5]s --stages 1,100%% --least 20s --longest 2m --past 6 --warm 2s --all
  kill -9 PID, with one off the list; then list again and watch it come back

Ctrl-C ends all of it.
`, sidecars, fleet.inventory, self, sidecar, fleet.overlay)
}

// findSidecar returns the path of the sidecar's program: the given one, the one in the folder of
// this program, or one that is built from the source in the current folder.
func findSidecar(ctx context.Context, given, dir string, out io.Writer) (string, error) {
	if given != "" {
		return filepath.Abs(given)
	}
	if executable, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(executable), "sidecar")
		if st, err := os.Stat(sibling); err == nil && st.Mode()&0o111 != 0 {
			return sibling, nil
		}
	}
	fmt.Fprintln(out, "building the sidecar")
	path := filepath.Join(dir, "sidecar")
	if b, err := exec.CommandContext(ctx, "go", "build", "-o", path, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		return "", fmt.Errorf("no sidecar: name its program with --sidecar, or run this in the source folder (%w: %s)", err, b)
	}
	return path, nil
}

// sendTraffic sends each sidecar a few requests per second until ctx ends. The returned function
// returns the counts so far.
func sendTraffic(ctx context.Context, wg *sync.WaitGroup, addresses []string) func() (good, bad int) {
	var mu sync.Mutex
	var good, bad int
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

// succeeds sends a request, reads the answer and says whether its status is 200.
func succeeds(client *http.Client, request *http.Request) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
