#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 scripts of the standard library, so there is
# nothing to compile; this checks that they can be read and that the daemon was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/common/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
test -x target/release/hibiscus-front || {
    echo "build the deploy file first: cargo build --release --locked -p hibiscus-front" >&2
    exit 1
}
