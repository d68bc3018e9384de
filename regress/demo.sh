#!/bin/bash
# Runs a small fleet on loopback: platform, two data centres, requests, a stop.
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
run_demo() {
	build/plain/scenario/scen build/plain "$work" \
	    regress/scenario/lib.lua regress/demo.lua
}
run_demo || { tail -n 5 "$work"/*.log; exit 1; }
