.PHONY: build test bench race lint run tools

# The operators' own line, so that what is tested here is what they run.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
export CGO_ENABLED = 1

build:
	$(BUILD)
	ldd bin/sandpass | grep -q libc

# The experiments' tests take all cores, which tests that go by the clock can't bear beside them: they come after.
SCALE := $(addprefix sandpass/internal/,scale scale/fit scale/fleet scale/helper scale/meter scale/standin)
BUSY := sandpass/internal/emulator sandpass/internal/lab sandpass/internal/testbed $(SCALE)

# What KNOWN-RED.txt names is passed over and printed.
test:
	go run ./internal/knownfailures -ldflags=-linkmode=external -- $$(go list ./... | grep -v $(addprefix -e ,$(BUSY)))
	go run ./internal/knownfailures -ldflags=-linkmode=external -p 1 -- $(BUSY)

bench:
	go test -run NONE -bench . -benchmem ./balance ./internal/http1 ./internal/loop ./internal/emulator

race:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	bin/sandpass serve --config example/config.json

# Renames an identifier with every use of it: gopls rename -w FILE:LINE:COLUMN NEW
tools:
	go install golang.org/x/tools/gopls@v0.23.0
