.PHONY: build test race lint run

# The operators' own line, so that what is tested here is what they run.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
export CGO_ENABLED = 1

build:
	$(BUILD)
	ldd bin/sandpass | grep -q libc

test:
	go test -ldflags=-linkmode=external ./...

race:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	bin/sandpass serve --config example/config.json
