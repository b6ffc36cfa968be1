#!/bin/bash
# Builds the plays of the second review, with their stand-ins, into bin/review-2. Run it after the deploy file's build.
# The sources end in .go.txt: the repository's own build and tests do not see them. An overlay names them to Go.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
out=bin/review-2
mkdir -p "$out"
{
	echo '{"Replace": {'
	for source in review/shared-2/*.go.txt; do
		echo "\"$root/review/shared-2/harness/$(basename "$source" .txt)\": \"$root/$source\","
	done
	for source in review/{6,7,8,9,10}/play.go.txt; do
		[ -f "$source" ] || continue
		echo "\"$root/$(dirname "$source")/play/main.go\": \"$root/$source\","
	done
	echo '"": ""}}'
} | sed '/^"": ""/s/"": ""//' | tr -d '\n' | sed 's/,}}/}}/' >"$out/overlay.json"
for source in review/{6,7,8,9,10}/play.go.txt; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	go build -buildvcs=false -overlay "$out/overlay.json" -o "$out/play-$number" "./review/$number/play"
done
