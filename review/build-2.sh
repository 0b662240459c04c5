#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. Run it in the root of the repository, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/descriptors
go build -o target/review-2/ ./review/fullowner
go build -o target/review-2/ ./review/longturn
go build -o target/review-2/ ./review/unsigned
