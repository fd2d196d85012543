LINTER := .bin/golangci-lint

.PHONY: all build test lint fmt demo bench soak faults clean

all: build

build:
	go build -o bin/ ./cmd/...

test:
	./scripts/test

lint: $(LINTER)
	$(LINTER) fmt --diff ./...
	$(LINTER) run ./...

fmt: $(LINTER)
	$(LINTER) fmt ./...

$(LINTER): tools/go.mod tools/go.sum
	cd tools && go build -o ../$(LINTER) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

demo: build
	go run ./cmd/demo

bench:
	go test -run '^$$' -bench . -benchtime 1s ./...

# Runs random fault schedules with consecutive seeds from SEED on, for SECONDS in each package. To replay a failure, set
# SEED to the seed that it prints.
SEED ?= $(shell date +%s)
SECONDS ?= 600
soak:
	@echo "soak: SEED=$(SEED) SECONDS=$(SECONDS)"
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) go test -count=1 -timeout 0 -v -run Soak ./internal/raft ./internal/owner

# Runs SEEDS random fault schedules, with consecutive seeds from SEED on, against real processes.
SEEDS ?= 50
faults:
	@echo "faults: SEED=$(SEED) SEEDS=$(SEEDS)"
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 0 -v -run 'TestFaults|TestOverlapping|TestLateReports' ./internal/soak

clean:
	rm -rf bin .bin demo-run
