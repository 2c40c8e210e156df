#!/usr/bin/env bash
# An upgrade of two hosts ends while the agent of host-b does not answer. host-a is changed, and is used
# on: a newer release, and more ended operations than an agent keeps. Then the agent of host-b answers again, and
# the operator ends the first operation there with `martendrum resume`, as the pages say.
# TROUBLE=0: the agent of host-b answers all the time.
set -u
# No run takes longer than 120 s.
[ -n "${GUARDED:-}" ] || GUARDED=1 exec timeout --preserve-status --kill-after=4 112 bash "$0"
trap 'say "out of time"; finish 2' TERM
cd "$(dirname "$0")/../.."
record=$PWD/review/2/record.txt
trouble=${TROUBLE:-1}
standin=$PWD/review/bin/standin
martendrum=$PWD/bin/martendrum
dir=$(mktemp -d)
: >"$record"
pids=() agent_b= known=
say() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }
# sidecars prints the process ids of the sidecars that the two agents started.
sidecars() { fleet list --json 2>/dev/null | grep -o '"pid": *[0-9]*' | grep -o '[0-9]*$' | grep -v '^0$'; }
# ours prints those of the known processes that still run a sidecar that an agent of this case started.
ours() { local pid; for pid in $known; do case $(readlink "/proc/$pid/exe") in "$dir"/*) echo "$pid" ;; esac; done; }
finish() {
	known="$known $(sidecars)"
	kill -TERM "${pids[@]}" $agent_b $(ours) 2>/dev/null
	sleep 1
	kill -KILL "${pids[@]}" $agent_b $(ours) 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
	exit "$1"
}
fleet() { "$martendrum" --fleet "$dir/fleet.toml" "$@"; }
# op runs an operator's command and records it with its last lines.
op() {
	local out code
	out=$(fleet "$@" 2>&1); code=$?
	echo "$out" >"$dir/last"
	say "martendrum $*: exit code $code"
	tail -n 12 <<<"$out" | sed 's/^/    /' | tee -a "$record"
	return $code
}
# field prints a field of an instance, as `martendrum list` has it.
field() { fleet list --json --instance "$1" 2>/dev/null | grep -o "\"$2\": *[^,]*" | head -1 | sed 's/.*: *//; s/"//g'; }
say "TROUBLE=$trouble"

"$standin" shop "$dir" 2 "$record" & pids+=($!)
for _ in $(seq 100); do [ -s "$dir/addresses.txt" ] && break; sleep 0.1; done
[ -s "$dir/addresses.txt" ] || { say "the servers did not start"; finish 2; }
for h in a b; do
	mkdir "$dir/$h"
	n=$([ $h = a ] && echo 1 || echo 2)
	cat >"$dir/$h/agent.toml" <<-TOML
		name = "host-$h"
		state_dir = "state"
		[listen]
		unix = "agent.sock"
		[sidecar]
		binary = "$PWD/bin/sidecar"
		fleet = "return"
		[limits]
		operations = 100
		[[instance]]
		name = "n$n"
		config = "$dir/s$n.json"
	TOML
	printf '[[host]]\nname = "host-%s"\naddress = "unix:%s/agent.sock"\n' $h "$dir/$h" >>"$dir/fleet.toml"
done
"$martendrum" agent --config "$dir/a/agent.toml" 2>"$dir/a/log" & pids+=($!)
start_b() { "$martendrum" agent --config "$dir/b/agent.toml" 2>>"$dir/b/log" & agent_b=$!; }
start_b
ready() { for _ in $(seq 150); do [ "$(fleet list --json 2>/dev/null | grep -c '"state": *"ready"')" = "$1" ] && return 0; sleep 0.1; done; return 1; }
ready 2 || { say "the sidecars are not ready"; cat "$dir"/?/log >>"$record"; finish 2; }
known=$(sidecars)

echo '{"limits": {"memory_mb": 80}}' >"$dir/old.json"
echo '{"limits": {"memory_mb": 96}}' >"$dir/new.json"
if [ "$trouble" != 0 ]; then
	# The agent stops once n1 is changed and before n2 is.
	( for _ in $(seq 300); do grep -q '"memory_mb": 80' "$dir/a/state/instances/n1.json" 2>/dev/null && break; sleep 0.02; done
	kill -KILL "$agent_b" ) & killer=$!
fi
op upgrade --binary bin/sidecar --overlay "$dir/old.json" --all --batch 1 --give-up 5s --on-failure stop --max-failures 1
[ "$trouble" != 0 ] && wait "$killer"
id=$(fleet operations --json 2>/dev/null | grep -o '"id": *"[^"]*"' | head -1 | sed 's/.*: *"//; s/"//')
say "the first operation is $id"
known="$known $(sidecars)"

op upgrade --binary bin/sidecar --overlay "$dir/new.json" --host host-a --give-up 5s || { say "the newer release was not taken over"; finish 2; }
began=$SECONDS
for n in $(seq 100); do fleet start --host host-a n1 >"$dir/out" 2>&1 || { say "operation $n failed: $(cat "$dir/out")"; finish 2; }; done
say "100 more operations on host-a have ended, in $((SECONDS - began)) s"
known="$known $(sidecars)"

if [ "$trouble" != 0 ]; then
	start_b
	ready 2 || { say "host-b is not back"; finish 2; }
	say "the agent of host-b answers again"
fi
known="$known $(sidecars)"
pid=$(field n1 pid) release=$(field n1 release)
memory() { grep -o '"memory_mb": *[0-9]*' "$dir/a/state/instances/n1.json" | grep -o '[0-9]*$'; }
before=$(memory)
say "n1 on host-a: process $pid, release ${release:0:12}, memory_mb $before"
op report "$id"
for _ in $(seq 20); do
	op resume "$id" --give-up 5s
	grep -q "is held by" "$dir/last" || break
	sleep 2 # the lease of the first command has not expired yet: 15 s, docs/operate/fleet.md
done
known="$known $(sidecars)"
now_pid=$(field n1 pid) now_release=$(field n1 release) now=$(memory)
say "n1 on host-a: process $now_pid, release ${now_release:0:12}, memory_mb $now"
[ -n "$pid" ] && [ -n "$now_pid" ] || { say "the state of n1 is not known"; finish 2; }
if [ "$pid" != "$now_pid" ] || [ "$release" != "$now_release" ] || [ "$before" != "$now" ]; then
	say "BROKEN: operation $id has changed n1 twice"
	finish 1
fi
say "held"
finish 0
