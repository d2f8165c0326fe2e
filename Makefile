# The door to this repository. Every target works on a fresh clone.
MODULES = ./... ./wigeond/... ./wigeonctl/... ./wigeonlab/...

.PHONY: build demo test check soak regress measure capacity bench properties scenarios fuzz generate

build:
	go build -o bin/ ./wigeond ./wigeonctl ./wigeonlab

demo: build
	./script/demo.sh
	./script/demo-tagged.sh

test:
	./script/test.sh $(MODULES)

check:
	test -z "$$(gofmt -l .)"
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

# soak plays fifty seeds of faults against balancers as processes, three at a time. SEED is
# the first one, SOAK holds more flags.
soak: build
	bin/wigeonlab soak -seed $(or $(SEED),1) -count 50 -jobs 3 $(SOAK)

# SITES are played for each landing, those of the newest milestones.
SITES = further/lsc-dakar further-grown/lsc-dakar-grown large/minuterie-bzh-large \
	grown/minuterie-bzh-grown grown/hanji-coop-grown

# regress scores the users' sites, one after the other: BENCH is their bench's program, KIT
# the folder with their site files, WHY a line for the journal.
regress:
	for site in $(SITES); do $(BENCH) score $(KIT)/$$site.toml --why "$(WHY)" || exit 1; done

# measure prints a line an experiment; it takes some minutes.
measure:
	go test ./internal/owned -run 'TestMeasure' -measure -v -parallel 3 -timeout 30m | grep '^measure:'

# capacity prints what a balancer spends on control at four sizes.
capacity:
	go test ./internal/owned -run 'TestCapacity' -measure -v -timeout 30m | grep '^capacity:'
	go test ./internal/owned ./internal/ring ./internal/config ./internal/probe ./internal/gossip ./internal/state ./internal/tagged -run '^$$' -bench 'Capacity' -benchtime 200ms

# bench runs the benchmarks of the packet path.
bench:
	go test ./internal/owned ./internal/daemon ./internal/tagged ./internal/policy ./internal/logs -run '^$$' -bench 'Packet|Relay|Exception|Memory|Line|Filler' -benchmem

# properties runs the properties longer than make test does.
properties:
	go test ./internal/owned -run 'TestProperty' -checks 300 -propertyseed 0 -timeout 60m

# scenarios runs every scenario, also those of other seeds.
scenarios:
	go test ./internal/owned -run 'TestScenarios' -v

# fuzz runs each fuzz target for a while.
fuzz:
	./script/fuzz.sh

# generate writes the messages' code anew; it needs Debian's protobuf-compiler. The
# code is committed, so that nothing else needs it.
generate:
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$$PWD/bin:$$PATH" protoc -I internal/wire --go_out=internal/wire --go_opt=paths=source_relative internal/wire/wire.proto internal/wire/gossip.proto
