#!/bin/sh
# Runs all tests but those that KNOWN-RED.txt names in lines "Test: NAME", which it
# prints instead.
set -eu
skip=""
if [ -s KNOWN-RED.txt ]; then
	echo "passed over, known to fail:"
	cat KNOWN-RED.txt
	skip=$(sed -n 's/^Test: //p' KNOWN-RED.txt | sed 's/.*/^&$/' | paste -sd '|' -)
fi
if [ -n "$skip" ]; then
	exec go test -skip "$skip" "$@"
fi
exec go test "$@"
