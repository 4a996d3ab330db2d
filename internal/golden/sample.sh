#!/usr/bin/env bash
# Writes the samples of a release, by running the tests that compare them in its source. A release that lacks these tests gets
# those of the working copy.
#   internal/golden/sample.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/../.."
commit=$(git rev-parse --short=7 "$1^{commit}")
out=$PWD/internal/golden/testdata/$commit
work=$(mktemp -d)
trap 'git worktree remove --force "$work/release" >/dev/null 2>&1 || true; rm -rf "$work"' EXIT
git worktree add -q --detach "$work/release" "$commit"
if [ ! -e "$work/release/internal/golden" ]; then
  mkdir "$work/release/internal/golden"
  for f in internal/golden/*.go internal/*/forms_test.go platform/forms_test.go; do cp "$f" "$work/release/$f"; done
  # Samples are written without a decoder, and these releases lack that of usage.
  [ -e "$work/release/internal/usage/decode.go" ] || sed -i 's/Decode: decode}/}/' "$work/release/internal/usage/forms_test.go"
fi
mkdir -p "$out"
cd "$work/release"
FIGSHIFT_SAMPLES=$out go test -count=1 -run TestFormsOfReleases ./internal/golden ./internal/items ./internal/relay ./internal/usage ./platform
