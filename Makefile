# The developer's menu. "make demo" and "make test" need Go, make and a C
# compiler, nothing else.
TOOL = go tool -modfile=tools/go.mod
GEN = internal/wire
SOURCES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$\|connect\.go$$')
# Tests of faults that are known and not mended yet, of which KNOWN-RED.txt says all.
RED = $(shell test -s KNOWN-RED.txt && cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|')
SKIP = $(if $(RED),-skip '^($(RED))$$')
# Packages whose tests run at the same time, and those that run before the others: their nodes keep time-outs on real
# clocks, which models and drawn loads beside them make them miss.
PACKAGES = 6
ALONE = ./internal/node ./cmd/spurhalld
# How many tests of these run at the same time, each with several nodes: as many as the machine has processors make each
# other miss their time-outs where it is short of time.
TOGETHER = 3
# How long the tests of one package may take before they count as hanging: those of the whole path wait for real time-outs.
LONGEST = 20m
export CGO_ENABLED = 1

.PHONY: all build test check demo measure sizes generate fuzz soak soak-short format clean

all: build

build: ## the three programs, into bin/
	go build -o bin/ ./cmd/...

test: ## every test but those known to fail, with the race detector; the played ones also without, with more seeds
	@if test -s KNOWN-RED.txt; then echo "passed over, as known to fail:"; cat KNOWN-RED.txt; fi
	go build -race ./...
	@bash scripts/tested.sh go test -race -count=1 -parallel $(TOGETHER) $(SKIP) $(ALONE)
	@bash scripts/tested.sh go test -race -count=1 -timeout $(LONGEST) -p $(PACKAGES) $(SKIP) $$(go list ./... | grep -v -e /internal/node$$ -e /cmd/spurhalld$$)
	@bash scripts/tested.sh go test -count=1 $(SKIP) -run 'Rollouts$$|Fleets$$|SimilarRequests$$|PartsThatCrashUpstreams$$|PartsAreServed$$|OfOrder$$|RoomIsShort$$' ./internal/model ./internal/quarantine

check: ## format, vet and lint
	@out=$$($(TOOL) gofumpt -l $(SOURCES)); test -z "$$out" || { echo "gofumpt differs:"; echo "$$out"; exit 1; }
	go vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml -set_exit_status -exclude internal/wire/... ./...

format: ## rewrite the sources in the project's format
	$(TOOL) gofumpt -w $(SOURCES)

demo: build ## the whole path, as separate processes, on loopback
	bash scripts/demo.sh

measure: build ## every decision beside its baseline; speeds; slopes
	bash scripts/measure.sh

sizes: build ## what nodes do in fleets of 95 to 2,000, with a plot, into docs/
	bash scripts/sizes.sh

generate: ## needs protoc; the output is committed
	mkdir -p bin
	go build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -modfile=tools/go.mod -o bin/protoc-gen-connect-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH=$(CURDIR)/bin:$$PATH protoc -I proto --go_out=. --go_opt=module=spurhall.example/spurhall \
		--connect-go_out=. --connect-go_opt=module=spurhall.example/spurhall proto/spurhall/v1/spurhall.proto proto/spurhall/v1/edge.proto

soak-short: build ## drawn days of faults on real processes, of the same seeds each time: what CI plays
	bin/spurhall-soak --regressions soak/regressions.txt --at-once 4
	bin/spurhall-soak --seed 1 --seeds 4 --at-once 4
	bin/spurhall-soak --row --seed 105 --seeds 4 --at-once 4
	bin/spurhall-soak --crowd --seed 205 --seeds 2 --at-once 2

soak: build ## some minutes of days with fresh seeds
	bin/spurhall-soak --seed 0 --seeds 24 --at-once 4

fuzz: ## each fuzz target for ten seconds
	bash scripts/fuzz.sh

clean:
	rm -rf bin
