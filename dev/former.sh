#!/usr/bin/env bash
# Builds the program of an earlier commit from the repository's history and prints its path.
# usage: dev/former.sh [COMMIT]
set -eu
cd "$(dirname "$0")/.."
# The last commit before rate limits over all entries.
commit="${1:-76dbd7d}"
commit=$(git rev-parse --verify "$commit^{commit}")
program="$PWD/target/former/debug/cyclamenpath-$commit"
if [ ! -x "$program" ]; then
    tree=$(mktemp -d)
    trap 'rm -rf "$tree"' EXIT
    git archive "$commit" | tar -x -C "$tree"
    (cd "$tree" && CARGO_TARGET_DIR="$OLDPWD/target/former" cargo build -q --locked -p cyclamenpath) >&2
    cp target/former/debug/cyclamenpath "$program"
fi
echo "$program"
