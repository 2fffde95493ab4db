#!/usr/bin/env bash
# Bundles the scripts of the cases with their stand-ins into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/*/run.ts; do
  name="$(basename "$(dirname "$source")")"
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
    --log-level=error --outfile="target/review/$name.mjs"
done
