#!/bin/sh
# Runs N nodes as real processes on loopback and measures, for each of a few changes, the time from its acceptance until it is in
# force on every node; then stops some processes for longer than a lease lasts, and looks again.
#
#   experiments/processes.sh BINARY SPREAD PREFIX N
#
# BINARY is a built monsoonrail, SPREAD a built experiments/spread, PREFIX the first two numbers of every address, such as 127.27,
# and N at most 200. The stand-ins and the first node are those of one "dev". Every process is ended by its own id.
set -eu
binary=$1 spread=$2 prefix=$3 count=$4
stopped=5 stop_seconds=20
work=$(mktemp -d)
pids=""

finish() {
	for pid in $pids; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT INT TERM

# The secrets of dev, so that its node and the processes are one fleet.
export MONSOONRAIL_SESSION_SECRETS=dev-session-secret MONSOONRAIL_PEER_SECRET=dev-peer-secret-0
export MONSOONRAIL_ISSUE_SECRETS=dev-issue-secret-0
export MONSOONRAIL_OPERATORS="dev:operate:$(printf dev-operator | sha256sum | cut -d' ' -f1)"

"$binary" dev --prefix "$prefix" --nodes 1 --engines 2 --plains 1 --log-level error >"$work/dev.log" 2>&1 &
pids="$pids $!"
sleep 3

domain_of() {
	case $(($1 % 4)) in 0) echo wm-brum ;; 1) echo wm-cov ;; 2) echo wm-wolves ;; *) echo wm-dudley ;; esac
}

i=1
while [ "$i" -le "$count" ]; do
	ip=$prefix.10.$i
	"$binary" serve --node="p-$i" --failure-domain="$(domain_of "$i")" --listen="$ip:8080" --peer-listen="$ip:8081" \
		--kv="http://$prefix.0.1:2379" --vm-list="http://$prefix.0.1:2380" --seed="$prefix.1.1:8081" --log-level=error \
		>"$work/p-$i.log" 2>&1 &
	pids="$pids $!"
	echo "$ip $!" >>"$work/nodes"
	i=$((i + 1))
done
accept=$prefix.1.1
sleep 20

"$spread" --nodes "$work/nodes" --accept "$accept" --name calm
rss=0
for pid in $(cut -d' ' -f2 "$work/nodes"); do rss=$((rss + $(ps -o rss= -p "$pid"))); done
echo "memory of $count processes: $((rss / 1024)) MB"

# Some processes stand still for longer than a lease, with late timers, while changes are accepted.
head -n "$stopped" "$work/nodes" >"$work/stopped"
tail -n "+$((stopped + 1))" "$work/nodes" >"$work/running"
for pid in $(cut -d' ' -f2 "$work/stopped"); do kill -STOP "$pid"; done
sleep "$stop_seconds"
"$spread" --nodes "$work/running" --accept "$accept" --name stopped --changes 5
for pid in $(cut -d' ' -f2 "$work/stopped"); do kill -CONT "$pid"; done
echo "$stopped processes that stood still for more than $stop_seconds s go on:"
"$spread" --nodes "$work/stopped" --accept "$accept" --changes 0
"$spread" --nodes "$work/nodes" --accept "$accept" --name after --changes 5
