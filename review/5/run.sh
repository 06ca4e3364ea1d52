#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case
# could not run. TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 review/build/grace review/5/record.txt "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
