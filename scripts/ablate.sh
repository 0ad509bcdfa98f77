#!/usr/bin/env bash
# Makes a scratch copy of the work tree for each mechanism in scripts/ablations.txt, with
# that mechanism disabled, and builds it, to be compared with an unchanged copy (named
# "all"). Fails if an edit changes nothing or does not build, because the code that the
# edit matches has changed.
#
#   scripts/ablate.sh FOLDER [NAME...]     all mechanisms if none is named
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?usage: scripts/ablate.sh FOLDER [NAME...]}
shift
mkdir -p "$out"
out=$(cd "$out" && pwd)

# copy NAME copies the files of the work tree that git tracks or does not ignore, without
# the journal.
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
