package main

import (
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/standin/shop"
)

const tool = "bin/martendrum"

// agent is an agent of a case.
type agent struct {
	name, config, address string
	process               *process
}

// newAgent writes an agent's configuration, with further lines for it, and starts it.
func (r *rig) newAgent(name string, n int, lines string) *agent {
	a := &agent{name: name, address: r.freeAddress(n)}
	a.config = r.write(name+".toml", fmt.Sprintf("name = %q\nstate_dir = \"state-%s\"\n%s", name, name, strings.ReplaceAll(lines, "ADDRESS", a.address)))
	return a
}

// startAgent starts an agent and waits until it accepts connections.
func (r *rig) startAgent(a *agent) {
	a.process = r.start("agent-"+a.name, "exec "+tool+" agent --config "+a.config)
	answers := await(15*time.Second, 50*time.Millisecond, func() bool {
		conn, err := net.Dial("tcp", a.address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	r.require(answers, "agent %s does not answer", a.name)
}

// quiet is run without a record.
func (r *rig) quiet(args ...string) (output string, status int) {
	record := r.record
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	r.require(err == nil, "%v", err)
	defer null.Close()
	r.record = null
	defer func() { r.record = record }()
	return r.run(args...)
}

// burst sends requests at the same time and returns how many were served and how many refused.
func (r *rig) burst(address, name string, count int) (served, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			a := r.send(address, request{method: http.MethodGet, path: "/status-check", class: "status-check", id: fmt.Sprintf("%s-%d", name, n), deadline: 3 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			switch a.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
			}
		})
	}
	wg.Wait()
	r.note("%s: %d served, %d refused of %d", name, served, refused, count)
	return served, refused
}

// fileSum returns the SHA-256 of a file in hexadecimal, empty if it can't be read.
func fileSum(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}

// removalLost publishes settings, kills the agent of the host right after its sidecar has applied them, removes
// the settings while the agent is down, and starts it again.
func removalLost(r *rig) {
	var err error
	r.servers, err = shop.New(4, 200*time.Millisecond)
	r.require(err == nil, "servers: %v", err)
	config, listen := r.sidecarConfig("n1", 60201)
	writer := r.newAgent("control-1", 60202, "")
	relays := "writer = \"control-1\"\n[[distribution.relay]]\nname = \"control-1\"\naddress = \"tcp:" + writer.address + "\"\n"
	r.write("control-1.toml", fmt.Sprintf("name = \"control-1\"\nstate_dir = \"state-control-1\"\n[listen]\nplain = %q\nplain_role = \"operate\"\n[sidecar]\nbinary = %q\n[distribution]\n%s[relay]\nsubscribers = 100\n", writer.address, r.root+"/bin/sidecar", relays))
	host := r.newAgent("host-a", 60203, "[listen]\nplain = \"ADDRESS\"\nplain_role = \"operate\"\n[sidecar]\nbinary = \""+r.root+"/bin/sidecar\"\nfleet = \"return\"\n[distribution]\nsubscribe = true\ncoalesce = \"500ms\"\n"+relays+
		fmt.Sprintf("[[instance]]\nname = \"n1\"\nconfig = %q\nlabels = { service = \"checkout\" }\n", config))
	fleet := r.write("fleet.toml", fmt.Sprintf("[[host]]\nname = \"control-1\"\naddress = \"tcp:%s\"\nlabels = { relay = \"true\" }\n[[host]]\nname = \"host-a\"\naddress = \"tcp:%s\"\n", writer.address, host.address))
	r.startAgent(writer)
	r.startAgent(host)
	r.awaitReady(listen)
	time.Sleep(4 * time.Second)
	served, _ := r.burst(listen, "before", 20)
	r.require(served == 20, "before the change %d of 20 are served", served)

	rendered := r.path("state-host-a/instances/n1.json")
	change := r.write("held.json", `{"settings":{"caps":{"mostHeld":2}}}`)
	_, status := r.run(tool, "--fleet", fleet, "change", "publish", "limits/checkout", "--file", change, "--scope", "service=checkout")
	r.require(status == 0, "publish failed")
	applied := await(16*time.Second, time.Millisecond, func() bool {
		data, err := os.ReadFile(rendered)
		if err != nil || !strings.Contains(string(data), `"mostHeld": 2`+"\n") && !strings.Contains(string(data), `"mostHeld": 2,`) {
			return false
		}
		sum, ok := health(listen)
		return ok && sum == fileSum(rendered)
	})
	r.require(applied, "the settings did not reach the sidecar")
	if r.trouble {
		host.process.kill()
		r.note("killed agent host-a")
	} else {
		r.note("agent host-a goes on")
		r.require(r.awaitInForce(fleet), "the settings are not in force")
	}
	served, refused := r.burst(listen, "during", 20)
	r.require(refused > 0, "the settings have no effect: %d served", served)
	_, status = r.run(tool, "--fleet", fleet, "change", "publish", "limits/checkout", "--remove")
	r.require(status == 0, "removal failed")
	if r.trouble {
		r.startAgent(host)
	}
	inForce := r.awaitInForce(fleet)
	time.Sleep(18 * time.Second) // our pages: in force everywhere within 16 s
	output, status := r.run(tool, "--fleet", fleet, "list", "--settings")
	r.run(tool, "--fleet", fleet, "inspect", "n1")
	served, refused = r.burst(listen, "after", 20)
	sum, _ := health(listen)
	r.note("the sidecar runs the configuration %.8s; the agent's file is %.8s", sum, fileSum(rendered))
	if refused > 0 {
		r.breaks("18 s after the agent's restart the removed limit of 2 requests is still in force: %d of 20 requests refused, %d served; list --settings (in force %v, status %d): %s", refused, served, inForce, status, strings.TrimSpace(output))
	}
}

// awaitInForce waits until list --settings says that the latest revision is in force everywhere.
func (r *rig) awaitInForce(fleet string) bool {
	return await(16*time.Second, 200*time.Millisecond, func() bool {
		output, status := r.quiet(tool, "--fleet", fleet, "list", "--settings")
		return status == 0 && strings.Contains(output, "in force on 1 of 1")
	})
}

// instances returns the instances of a fleet by name.
func (r *rig) instances(fleet string) map[string]instance {
	output, _ := r.quiet(tool, "--fleet", fleet, "--json", "list")
	var hosts []struct{ Instances []instance }
	if !decode(output, &hosts) {
		var wrapped struct {
			Hosts []struct{ Instances []instance }
		}
		decode(output, &wrapped)
		hosts = append(hosts, wrapped.Hosts...)
	}
	byName := make(map[string]instance)
	for _, h := range hosts {
		for _, i := range h.Instances {
			byName[i.Name] = i
		}
	}
	return byName
}

// instance is what `list --json` tells of an instance.
type instance struct {
	Name, State, Reason, Running, Release string
	PID                                   int `json:"pid"`
}

// crashRollback begins a staged change of settings and kills its command once the first instance runs them. That
// instance is then killed, and can't start again with the new settings: the address of its admin endpoint is
// in use. The agent must roll the instance back.
func crashRollback(r *rig) {
	var err error
	r.servers, err = shop.New(4, 20*time.Millisecond)
	r.require(err == nil, "servers: %v", err)
	listen := make(map[string]string)
	var instances string
	for n := range 3 {
		name := fmt.Sprintf("n%d", n+1)
		config, address := r.sidecarConfig(name, 60301+n)
		listen[name] = address
		instances += fmt.Sprintf("[[instance]]\nname = %q\nconfig = %q\nlabels = { zone = \"jakarta\", shop = \"%d\" }\n", name, config, n)
	}
	host := r.newAgent("host-a", 60310, "[listen]\nplain = \"ADDRESS\"\nplain_role = \"operate\"\n[sidecar]\nbinary = \""+r.root+"/bin/sidecar\"\nfleet = \"return\"\n[figures]\nslot = \"2s\"\n[limits]\ncrash_most = 3\n"+instances)
	fleet := r.write("fleet.toml", fmt.Sprintf("[[host]]\nname = \"host-a\"\naddress = \"tcp:%s\"\n", host.address))
	r.startAgent(host)
	for _, address := range listen {
		r.awaitReady(address)
	}
	time.Sleep(8 * time.Second)
	taken, err := net.Listen("tcp", r.freeAddress(60311))
	r.require(err == nil, "%v", err)
	defer taken.Close()
	overlay := r.write("new.json", fmt.Sprintf(`{"mgmt": %q, "settings": {"caps": {"mostHeld": 150}}}`, taken.Addr()))
	before := r.instances(fleet)
	command := r.start("change", "exec "+tool+" --fleet "+fleet+" change start --overlay "+overlay+" --stages 1,100% --batch 1 --least 60s --longest 90s --past 2 --warm 2s --alone 5s --lease 3s --all")
	changed := ""
	found := await(40*time.Second, 200*time.Millisecond, func() bool {
		for name, i := range r.instances(fleet) {
			if i.Running != before[name].Running && i.State == "ready" {
				changed = name
			}
		}
		return changed != ""
	})
	r.require(found, "no instance was changed")
	r.note("%s runs the new settings: %+v", changed, r.instances(fleet)[changed])
	time.Sleep(2 * time.Second)
	command.kill()
	r.note("killed the command")
	if r.trouble {
		pid := r.instances(fleet)[changed].PID
		syscall.Kill(pid, syscall.SIGKILL)
		r.note("killed the sidecar %s, process %d", changed, pid)
	}
	for range 8 { // 40 s, of which the agent waits 3 s for the lease and 5 s more
		time.Sleep(5 * time.Second)
		r.note("%s: %+v", changed, r.instances(fleet)[changed])
	}
	after := r.instances(fleet)[changed]
	r.run(tool, "--fleet", fleet, "change", "list")
	r.run(tool, "--fleet", fleet, "inspect", changed)
	_, serves := health(listen[changed])
	if !serves {
		r.breaks("40 s after the command's death the crashing instance %s is not rolled back: state %q (%s), it does not serve", changed, after.State, after.Reason)
	}
}
