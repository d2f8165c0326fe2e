# The door to this repository. Every target works on a fresh clone.
MODULES = ./... ./wigeond/... ./wigeonctl/... ./wigeonlab/...

.PHONY: build demo test check measure

build:
	go build -o bin/ ./wigeond ./wigeonctl ./wigeonlab

demo: build
	./script/demo.sh

test:
	./script/test.sh $(MODULES)

check:
	test -z "$$(gofmt -l .)"
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

# measure prints a line an experiment; it takes some minutes.
measure:
	go test ./internal/core -run 'TestMeasure' -measure -v -parallel 3 -timeout 30m | grep '^measure:'
