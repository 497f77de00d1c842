#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review. Run it in the
# repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2 review/driver-2/*.go
