#!/usr/bin/env bash
# Runs every test. Tests named in KNOWN-RED.txt run last, and their result is printed and does not count.
set -euo pipefail
cd "$(dirname "$0")"

red=
[ -f KNOWN-RED.txt ] && red=$(sed -n 's/^Test: *//p' KNOWN-RED.txt | paste -sd'|' -)
skip=()
[ -n "$red" ] && skip=(-skip "^($red)\$")

# The race detector runs on the packages in which goroutines share state.
race=$(go list ./... | grep -E '/(journal|peer|share|route|claim|entry|provider|burn|ledger|dispatch|intake|fleet|platform|standby|maintenance|ingress)$' || true)
# The tests of ./crowd measure processes under a crowd of clients, one at a time and apart from other load.
crowd=$(go list ./... | grep -E '/crowd$' || true)
rest=$(go list ./... | grep -vxF "${race:-none}" | grep -vxF "${crowd:-none}")
# The tests of ./dispatch use no real time and take all cores, so they run before those that wait for answers.
busy=$(grep -E '/dispatch$' <<<"$race" || true)
race=$(grep -vxF "${busy:-none}" <<<"$race" || true)
if [ -n "$busy" ]; then go test -race -count=1 "${skip[@]}" "$busy"; fi
# shellcheck disable=SC2086
if [ -n "$race" ]; then go test -race -count=1 "${skip[@]}" $race; fi
# shellcheck disable=SC2086
go test -count=1 "${skip[@]}" $rest
if [ -n "$crowd" ]; then go test -count=1 -p 1 -parallel 1 "${skip[@]}" "$crowd"; fi

if [ -n "$red" ]; then
  printf 'known red tests, see KNOWN-RED.txt:\n'
  go test -count=1 -run "^($red)\$" ./... | grep -v 'no test files' || true
fi
