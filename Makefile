MODULES := ./core/... ./adapters/... ./standins/... ./cmd/... ./measure/...
GOFILES := $(shell git ls-files '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$')
# Tests listed in KNOWN-RED.txt (first word of each entry) are passed over and printed.
SKIP := $(shell sed -n 's/^test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
RACE ?=

.PHONY: all build test lint measure capacity docs generate

all: lint test

build:
	go build -o bin/ ./cmd/cyclamenhitchd ./cmd/cyclamenhitch

test:
	@if [ -n "$(SKIP)" ]; then echo "passed over, see KNOWN-RED.txt: $(SKIP)"; fi
	go test $(RACE) $(if $(SKIP),-skip '^($(SKIP))$$') -timeout 20m $(MODULES)

lint:
	@out=$$(go tool gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

# Benchmarks with fixed seeds; figures go into docs/MEASURES.md.
measure:
	go test -run '^$$' -bench . -benchtime 1x -timeout 60m ./measure/...

# Measures the slopes again and rewrites the tables of docs/CAPACITY.md.
capacity:
	go run ./measure/cmd/capacity

# Writes the generated tables of docs/operators.md and docs/result-codes.md.
docs:
	go run ./cmd/internal/doctable

# Needs protoc, protoc-gen-go and protoc-gen-twirp; generated code is committed.
generate:
	go generate ./adapters/...
