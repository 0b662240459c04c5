#!/bin/sh
# Builds the stand-ins of the scripts into target/, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/longhistory ./review/fulllog ./review/survivor
