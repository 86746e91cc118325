#!/usr/bin/env bash
# play.sh FOLDER CASE: plays a case and writes FOLDER/record.txt. Run by the run.sh of each case.
set -u
record=$(cd "$1" && pwd)/record.txt
cd "$(dirname "$0")/.."
if [ ! -x target/platform/gooseberryfall-platform ] || [ ! -x target/review/driver ]; then
    echo "build with the line of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 115 target/review/driver "$2" "$folder" "$record"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
