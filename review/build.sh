#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
