#!/usr/bin/env bash
# Lays the bench's own files beside a site of ours, which it wants there to play it:
#   deploy/sites/lay.sh KIT NAME      KIT: the folder that holds real.json, wire.json and unlock.txt
# They are the bench's, not ours, and git ignores them here.
set -euo pipefail
kit=$(cd "$1" && pwd) name=$2
cd "$(dirname "$0")"
test -f "$name/$name.toml" || { echo "lay.sh: there is no site $name here" >&2; exit 2; }
for file in real.json wire.json unlock.txt; do
	test -f "$kit/$file" || { echo "lay.sh: $kit holds no $file" >&2; exit 2; }
	install -m 644 "$kit/$file" "$name/$file"
done
