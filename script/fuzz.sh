#!/bin/sh
# Runs each fuzz target for FUZZTIME, 10s by default.
set -eu
time=${FUZZTIME:-10s}
grep -rln --include='*_test.go' '^func Fuzz' . | while read -r file; do
	package=$(dirname "$file")
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file"); do
		echo "fuzz $package $target"
		go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "$time"
	done
done
