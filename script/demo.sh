#!/bin/sh
# Runs an example deployment on loopback. The platform, the fabric, each backend server,
# each balancer and the callers are separate processes. While callers send requests, a
# balancer is paused, a backend server is marked as leaving, one balancer leaves and
# another one is killed. DEPLOYMENT is horodis or hanji, FLOWS the number of flows of the
# first service, and SPAN the duration in seconds.
set -eu
deployment=${DEPLOYMENT:-horodis}
flows=${FLOWS:-2000}
span=${SPAN:-16}
case "$deployment" in
horodis) first=planning second=journal ;;
hanji) first=line-feed second=spec-upload ;;
*)
	echo "demo: DEPLOYMENT must be horodis or hanji" >&2
	exit 2
	;;
esac
out=out/demo-$deployment
rm -rf "$out"
mkdir -p "$out/logs"
cp -r "examples/$deployment/published" "examples/$deployment/settings" "$out/"
pids=""
# start NAME COMMAND... starts a process in the background and sets $pid to its ID.
start() {
	name=$1
	shift
	"$@" >"$out/logs/$name.log" 2>&1 &
	pid=$!
	pids="$pids $pid"
}
finish() {
	for child in $pids; do
		kill "$child" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
trap finish EXIT
start platform bin/wigeonlab platform -deployment "$deployment" -directory "$out/published"
start fabric bin/wigeonlab fabric -deployment "$deployment"
for number in $(seq 15); do start "$first-$number" bin/wigeonlab server -deployment "$deployment" -server "$first-$number"; done
for number in $(seq 4); do start "$second-$number" bin/wigeonlab server -deployment "$deployment" -server "$second-$number"; done
leaving_pid="" killed_pid="" paused_pid=""
for number in $(seq 8); do
	start "entry-$number" bin/wigeond run -settings "$out/settings/$deployment-entry-$number.ini"
	if [ "$number" = 3 ]; then leaving_pid=$pid; fi
	if [ "$number" = 5 ]; then paused_pid=$pid; fi
	if [ "$number" = 6 ]; then killed_pid=$pid; fi
done
sleep 4
echo "demo: 8 balancers, 19 backend servers, the platform and the fabric are running"
start callers bin/wigeonlab call -deployment "$deployment" -flows "$flows" -span "${span}s"
callers=$pid
sleep 2
kill -STOP "$paused_pid"
echo "demo: balancer 5 is paused for three seconds"
sleep 3
kill -CONT "$paused_pid"
sleep 1
bin/wigeonctl mark "$out/published" "$first-2" Leaving
bin/wigeonlab publish -deployment "$deployment" -directory "$out/published"
echo "demo: $first-2 is marked as leaving"
sleep 1
bin/wigeonlab instances -deployment "$deployment" -leaving 3
kill -TERM "$leaving_pid"
echo "demo: balancer 3 leaves"
sleep 1
kill -KILL "$killed_pid"
echo "demo: balancer 6 is killed"
sleep 1
bin/wigeonlab instances -deployment "$deployment" -gone 3,6
status=0
wait "$callers" || status=$?
cat "$out/logs/callers.log"
exit $status
