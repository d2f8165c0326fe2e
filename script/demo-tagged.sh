#!/bin/sh
# Runs four balancers with the binding Tagged on loopback, each as a separate process. The
# store, the router, the callers and six backend servers run in another one. While callers
# send requests, a backend server drains, the store is down for a while, a balancer is
# paused, one leaves and is started again, and one is killed. FLOWS is the number of flows,
# and SPAN the duration in seconds.
set -eu
out=out/demo-tagged
rm -rf "$out"
mkdir -p "$out/logs"
bin/wigeonlab prepare-tagged -directory "$out"
pids=""
finish() {
	for child in $pids; do
		kill "$child" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
trap finish EXIT
balancer() {
	bin/wigeond run -settings "$out/entry-$1.ini" >>"$out/logs/entry-$1.log" 2>&1 &
	pid=$!
	pids="$pids $pid"
}
bin/wigeonlab tagged -flows "${FLOWS:-200}" -span "${SPAN:-16}s" &
lab=$!
pids="$pids $lab"
balancer 1
leaving_pid=$pid
balancer 2
killed_pid=$pid
balancer 3
paused_pid=$pid
balancer 4
sleep 4
kill -STOP "$paused_pid"
echo "demo: balancer 3 is paused for two seconds"
sleep 2
kill -CONT "$paused_pid"
kill -TERM "$leaving_pid"
echo "demo: balancer 1 leaves and is restarted after four seconds"
sleep 4
balancer 1
sleep 2
kill -KILL "$killed_pid"
echo "demo: balancer 2 is killed"
wait "$lab"
