.PHONY: build test bench race lint run

# The operators' own line, so that what is tested here is what they run.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
export CGO_ENABLED = 1

build:
	$(BUILD)
	ldd bin/sandpass | grep -q libc

test:
	go test -ldflags=-linkmode=external ./...

bench:
	go test -run NONE -bench . -benchmem ./balance ./internal/http1 ./internal/loop ./internal/emulator

race:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	bin/sandpass serve --config example/config.json
