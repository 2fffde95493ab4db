#!/bin/bash
# Builds the stand-ins and callers of the scripts under review/6 to review/10 into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/{6,7,8,9,10}/*.ts; do
  [ -e "$source" ] || continue
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm --log-level=error \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" \
    --outfile="target/review/$(basename "$(dirname "$source")").mjs"
done
