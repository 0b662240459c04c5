#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. The daemon comes from the build of the deploy file.
cd "$(dirname "$0")/.." && go build -o target/review-3/rig ./review/rig
