#!/usr/bin/env bash
# Makes a scratch copy of the work tree for each mechanism in scripts/ablations.txt, with
# that mechanism switched off and the programs built, to be played against a copy with
# all of them on (named "all"). An edit that changes nothing, or does not build, fails:
# the mechanism has moved.
#
#   scripts/ablate.sh FOLDER [NAME...]     all mechanisms if none is named
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?usage: scripts/ablate.sh FOLDER [NAME...]}
shift
mkdir -p "$out"
out=$(cd "$out" && pwd)

# copy makes a copy of what git knows, as it is in the work tree.
copy() {
  mkdir -p "$out/$1"
  git ls-files --cached --others --exclude-standard -- . ':!journal' | tar -cf - -T - | tar -xf - -C "$out/$1"
}

copy all
grep -v '^#' scripts/ablations.txt | while IFS=$'\t' read -r name file edit; do
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx -- "$name"; then continue; fi
  copy "$name"
  sed -i "$edit" "$out/$name/$file"
  if cmp -s "$file" "$out/$name/$file"; then echo "$name: the edit of $file changes nothing" >&2; exit 1; fi
  (cd "$out/$name" && go build ./...) || { echo "$name: does not build" >&2; exit 1; }
  echo "$name: ready"
done
