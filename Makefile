# Build, test and maintenance targets. All of them work on a fresh clone.
MODULES = ./... ./wigeond/... ./wigeonctl/... ./wigeonlab/...

.PHONY: build demo test check soak regress review measure capacity bench properties scenarios fuzz generate

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

# soak runs balancers as processes and injects random faults, with fifty seeds and three runs
# at a time. SEED is the first seed, SOAK holds additional flags.
soak: build
	bin/wigeonlab soak -seed $(or $(SEED),1) -count 50 -jobs 3 $(SOAK)

# SITES are the site files of the newest milestones, scored before each merge.
SITES = demands/ftpe-planif-grown demands/ttwpa-ct-grown shifted/minuterie-bzh-now-grown \
	further/lsc-dakar further-grown/lsc-dakar-grown large/minuterie-bzh-large

# regress scores SITES one after the other. BENCH is the benchmark program that scores a site,
# KIT the folder with the site files, and WHY the reason that the journal records for the run.
regress:
	for site in $(SITES); do $(BENCH) score $(KIT)/$$site.toml --why "$(WHY)" || exit 1; done

# review plays the cases of the independent review as a regression test. BENCH and KIT are those of
# regress.
review:
	go build -ldflags=-linkmode=external -o target/ ./wigeond
	sh review/build.sh
	review/1/run.sh
	review/2/run.sh
	for seed in 1 2 3 4 5; do $(BENCH) run $(KIT)/further/lsc-dakar.toml review/3/day.toml --seed $$seed --why "$(WHY)" || exit 1; done

# measure runs the experiments, which takes some minutes, and prints a line for each of them.
measure:
	go test ./internal/owned -run 'TestMeasure' -measure -v -parallel 3 -timeout 30m | grep '^measure:'

# capacity prints the control traffic and processor time of a balancer for four fleet sizes.
capacity:
	go test ./internal/owned -run 'TestCapacity' -measure -v -timeout 30m | grep '^capacity:'
	go test ./internal/owned ./internal/ring ./internal/config ./internal/probe ./internal/gossip ./internal/state ./internal/tagged ./internal/eject -run '^$$' -bench 'Capacity' -benchtime 200ms

# bench runs the benchmarks of the packet path.
bench:
	go test ./internal/owned ./internal/daemon ./internal/tagged ./internal/policy ./internal/logs -run '^$$' -bench 'Packet|Relay|Exception|Memory|Line|Filler' -benchmem

# properties checks the properties with more runs than make test and with a new seed.
properties:
	go test ./internal/owned -run 'TestProperty' -checks 300 -propertyseed 0 -timeout 60m

# scenarios runs all scenarios and prints the result of each.
scenarios:
	go test ./internal/owned -run 'TestScenarios' -v

# fuzz runs each fuzz target for FUZZTIME, 10s by default.
fuzz:
	./script/fuzz.sh

# generate regenerates the Go code of the .proto files. It requires protoc (Debian package
# protobuf-compiler). The generated code is committed, so no other target requires it.
generate:
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$$PWD/bin:$$PATH" protoc -I internal/wire --go_out=internal/wire --go_opt=paths=source_relative internal/wire/wire.proto internal/wire/gossip.proto
