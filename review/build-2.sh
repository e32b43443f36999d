#!/bin/bash
# Builds the stand-ins of the second review (cases 6 to 10) into review/bin. No network is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 GOPROXY=off go build -o review/bin/drill2 ./review/standin-2
