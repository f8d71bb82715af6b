#!/bin/sh
# Builds the stand-ins that the cases' scripts start. Standard library only: no network is needed.
set -e
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
