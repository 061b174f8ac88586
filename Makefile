# Commands for developers. `make demo` runs the whole system on loopback;
# `make test` runs everything that CI checks.

OGEN := go tool -modfile=tools/ogen/go.mod ogen
BUF := go tool -modfile=tools/proto/go.mod buf
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# GOPLS renames identifiers with all their uses: $(GOPLS) rename -w FILE:LINE:COLUMN NAME.
GOPLS := go run golang.org/x/tools/gopls@v0.23.0
PACKAGES := ./...

# capacity measures the slopes that docs/CAPACITY.md is worked out from.
.PHONY: soak capacity build demo up test generate generated lint format measure bench

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/elmdemo -bin bin

up: build
	bin/elmdemo -bin bin -stay

generate:
	$(BUF) generate
	$(OGEN) --config api/ogen.yaml --package elmapi --target internal/wire/elmapi --clean api/entry.yaml
	$(OGEN) --config api/ogen.yaml --package elmkvapi --target internal/wire/elmkvapi --clean api/platform.yaml
	go run ./cmd/elmcove reference > docs/CONFIG.md

generated: generate
	git diff --exit-code -- internal/wire docs/CONFIG.md
	go mod tidy -diff

format:
	$(LINT) fmt

lint:
	$(LINT) fmt --diff
	$(LINT) run
	go vet $(PACKAGES)

# Tests named in KNOWN-RED.txt ("test: NAME" lines) are printed and passed over.
RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

# HOSTILE checks the memory of processes. It runs apart from others and without the race
# detector, which multiplies memory.
HOSTILE := github.com/elmcove/elmcove/internal/stand/elmhostile

test: generated lint
	@if [ -f KNOWN-RED.txt ]; then echo "known red; tests named there are passed over:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout 20m $(if $(RED),-skip '^($(RED))$$') $(filter-out $(HOSTILE),$(shell go list $(PACKAGES)))
	go test -count=1 -p 1 -timeout 20m $(HOSTILE)

capacity: build
	bin/elmcapacity -bin bin > docs/SLOPES.md

measure: build
	bin/elmmeasure -plots docs/plots > docs/MODEL.md
	bin/elmmeasure -bin bin > docs/MEASURES.md

# Seeds and their first are set with SEEDS=50 SEED=1.
SEEDS ?= 5
SEED ?= 1
soak: build
	bin/elmsoak -bin bin -seed $(SEED) -seeds $(SEEDS)

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)
