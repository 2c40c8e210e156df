package main

import (
	"fmt"
	"strings"
	"time"

	"martendrum/internal/standin/shop"
)

// twoWriters promotes control-2 while control-1 is lost, and lets control-1 come back and follow. Later the machine of
// control-1 is lost with its disk and replaced by an empty one. While control-2 is unavailable, an operator publishes.
func twoWriters(r *rig) {
	var err error
	r.servers, err = shop.New(2, 20*time.Millisecond)
	r.require(err == nil, "servers: %v", err)
	sidecarConfig, listen := r.sidecarConfig("n1", 60701)
	relays := []string{r.freeAddress(60702), r.freeAddress(60703)}
	hostAddress := r.freeAddress(60704)
	distribution := "writer = \"control-1\"\n"
	inventory := fmt.Sprintf("[[host]]\nname = \"host-a\"\naddress = \"tcp:%s\"\n", hostAddress)
	for n, address := range relays {
		name := fmt.Sprintf("control-%d", n+1)
		distribution += fmt.Sprintf("[[distribution.relay]]\nname = %q\naddress = \"tcp:%s\"\nregion = \"java-west\"\nzone = \"java-west-%d\"\n", name, address, n+1)
		inventory += fmt.Sprintf("[[host]]\nname = %q\naddress = \"tcp:%s\"\nlabels = { relay = \"true\" }\n", name, address)
	}
	head := func(name, folder, address string) string {
		return fmt.Sprintf("name = %q\nstate_dir = %q\n[listen]\nplain = %q\nplain_role = \"operate\"\n[sidecar]\nbinary = \"%s/bin/sidecar\"\n", name, folder, address, r.root)
	}
	relay := func(n int, file, folder string) *agent {
		name := fmt.Sprintf("control-%d", n)
		text := head(name, folder, relays[n-1]) + fmt.Sprintf("[distribution]\nregion = \"java-west\"\nzone = \"java-west-%d\"\n", n) + distribution + "[relay]\nsubscribers = 100\n"
		return &agent{name: name, address: relays[n-1], config: r.write(file, text)}
	}
	first, second := relay(1, "control-1.toml", "state-1"), relay(2, "control-2.toml", "state-2")
	replaced := relay(1, "control-1-new.toml", "state-1-new")
	host := &agent{name: "host-a", address: hostAddress, config: r.write("host-a.toml", head("host-a", "state-a", hostAddress)+
		"[distribution]\nsubscribe = true\nregion = \"java-west\"\nzone = \"java-west-1\"\n"+distribution+
		fmt.Sprintf("[[instance]]\nname = \"n1\"\nconfig = %q\nlabels = { service = \"checkout\" }\n", sidecarConfig))}
	fleet := r.write("fleet.toml", inventory)
	publish := func(name string, held int) (status int) {
		file := r.write(strings.ReplaceAll(name, "/", "-")+".json", fmt.Sprintf(`{"settings":{"caps":{"mostHeld":%d}}}`, held))
		_, status = r.run(tool, "--fleet", fleet, "change", "publish", name, "--file", file, "--scope", "service=checkout")
		return status
	}
	r.startAgent(first)
	r.startAgent(second)
	r.startAgent(host)
	r.awaitReady(listen)
	time.Sleep(3 * time.Second)
	r.require(publish("limits/first", 190) == 0, "the first publication failed")
	r.require(r.awaitInForce(fleet), "the first publication is not in force")

	first.process.kill()
	r.note("control-1, the writer, is lost")
	_, status := r.run(tool, "--fleet", fleet, "change", "promote", "control-2")
	r.require(status == 0, "the promotion failed")
	r.require(publish("limits/second", 180) == 0, "the second publication failed")
	r.startAgent(first)
	follows := await(20*time.Second, 200*time.Millisecond, func() bool {
		output, _ := r.quiet(tool, "--fleet", fleet, "list", "--settings", "--relay", "control-1")
		return strings.Contains(output, "writer control-2")
	})
	r.require(follows, "control-1 does not follow control-2")
	r.require(r.awaitInForce(fleet), "the second publication is not in force")
	r.note("control-1 is back with its disk and follows control-2")

	first.process.kill()
	back := first
	if r.trouble {
		back = replaced
		r.note("the machine of control-1 is lost with its disk; another one comes up at its address, with the same agent.toml")
	}
	r.startAgent(back)
	time.Sleep(8 * time.Second)
	r.run(tool, "--fleet", fleet, "list", "--settings", "--relay", "control-1")
	r.run(tool, "--fleet", fleet, "list", "--settings", "--relay", "control-2")
	second.process.kill()
	r.note("control-2, the writer, is unavailable")
	status = publish("limits/third", 170)
	r.startAgent(second)
	time.Sleep(18 * time.Second) // our pages: in force everywhere within 16 s
	resources, _ := r.run(tool, "--fleet", fleet, "list", "--settings", "--resources", "--relay", "control-2")
	state, _ := r.run(tool, "--fleet", fleet, "list", "--settings")
	r.run(tool, "--fleet", fleet, "inspect", "n1")
	if status == 0 && !strings.Contains(resources, "limits/third") {
		r.breaks("limits/third was acknowledged while the writer, control-2, was unavailable; 18 s after its return it is in no list: %s", strings.TrimSpace(strings.SplitN(state, "\n", 2)[0]))
	}
}
