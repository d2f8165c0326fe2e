// Command lab-2 plays the scripted cases of the review in REPORT-2.md: balancers as processes, and
// stand-ins of the store, targets and clients in this process.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// options are the options of a case.
type options struct {
	// trouble is false if the case is to be played without its disruption.
	trouble   bool
	root      string
	directory string
	record    *record
}

// cases are the cases by name. A case returns what broke the rule, empty if it held.
var cases = map[string]func(options) (string, error){
	"new-service": playNewService,
	"moved-route": playMovedRoute,
	"late-copy":   playLateCopy,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *trouble, *root, *path))
}

func run(play func(options) (string, error), trouble bool, root, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	directory, err := os.MkdirTemp("", "lab-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	r := &record{file: file, start: time.Now()}
	broken, err := play(options{trouble: trouble, root: root, directory: directory, record: r})
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken != "":
		r.line("the rule is broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.line("the rule held")
	fmt.Println("held")
	return exitHeld
}
