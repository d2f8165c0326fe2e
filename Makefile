# The door to this repository. Every target works on a fresh clone.
MODULES = ./... ./wigeond/... ./wigeonctl/... ./wigeonlab/...

.PHONY: build demo test check

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
