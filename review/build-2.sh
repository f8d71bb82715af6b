#!/bin/sh
# Builds the stand-in of the cases 6 to 10, after the build of the deploy file. It is a module of its own, so that the project's build
# and tests leave it out, and it uses the standard library alone: no network is needed.
set -e
cd "$(dirname "$0")/standin2"
CGO_ENABLED=0 GOFLAGS= GOWORK=off go build -buildvcs=false -o ../bin/standin2 .
