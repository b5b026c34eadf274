# Targets for people and CI. Every target works on a machine that has only Go.

MODULES   := pkg ebonyd ebonyctl emul platform
LINT      := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
LINT_BIN  := $(shell go env GOPATH)/bin/golangci-lint

.PHONY: build test race bench format lint demo demo-split lint-tool target soak

build:
	mkdir -p bin
	go build -o bin/ ./ebonyd/cmd/ebonyd ./ebonyctl/cmd/ebonyctl ./emul/cmd/ebonyemu

# The program of the users' platform, built as deploy/system.toml says.
target:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

test:
	go test $(MODULES:%=./%/...)

# The schedules of emul/proof drive cores without goroutines in virtual time,
# where the race detector has nothing to find and takes over ten minutes; one of
# them runs under it to cover the path. The soak tests other processes.
race:
	go test -race $$(go list $(MODULES:%=./%/...) | grep -v -e '/emul/proof$$' -e '/emul/soak$$')
	go test -race -run 'TestRepeatable' ./emul/proof

# The bounds are assertions on counts, ratios and virtual time inside the
# benchmarks, so one iteration checks them all. Use BENCHTIME=1s for times.
BENCHTIME ?= 1x
bench:
	go test -run '^$$' -bench . -benchtime $(BENCHTIME) -benchmem $(MODULES:%=./%/...)

# Both halves at today's size with real processes on loopback.
demo: build
	scripts/demo.sh $(DEMO_DIR)

# One organisation becomes two halves, as in docs/split.md.
demo-split: build
	scripts/split.sh $(DEMO_DIR)

# The soak with fresh seeds, 8 at a time: make soak SEED=100 RUNS=50 [EDGES=40]
SEED ?= 1
RUNS ?= 8
EDGES ?= 4
soak:
	SOAK_SEED=$(SEED) SOAK_RUNS=$(RUNS) SOAK_EDGES=$(EDGES) go test ./emul/soak -v -count=1 -parallel 8 -timeout 60m

lint-tool:
	@"$(LINT_BIN)" version 2>/dev/null | grep -q 'version v\?2.15.0' || go install $(LINT)

format: lint-tool
	@for m in $(MODULES); do (cd $$m && "$(LINT_BIN)" fmt -c ../.golangci.yml --diff ./...) || exit 1; done

lint: lint-tool
	@for m in $(MODULES); do (cd $$m && go vet ./... && "$(LINT_BIN)" run -c ../.golangci.yml ./...) || exit 1; done
