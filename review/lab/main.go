// Command lab plays the cases of the review: the project's balancers as processes, and stand-ins of
// the platform, its targets and its clients in this process, all on loopback addresses.
//
// Usage: lab CASE RECORD. The exit status is 1 if the case's rule was broken, 0 if it held, and 2 if
// the case could not be played. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a run.
const maxDuration = 110 * time.Second

// The exit statuses.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusUnplayed = 2
)

// play runs the steps of a case and returns the number of times that its rule was broken.
type play func(ctx context.Context, w *world, trouble bool) (broken int, err error)

var cases = map[string]play{
	"backlog": playBacklog,
	"writer":  playWriter,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(statusUnplayed)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// playCase plays a case once and returns the exit status.
func playCase(c play, recordPath string, trouble bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return statusUnplayed
	}
	defer w.close()
	broken, err := c(ctx, w, trouble)
	if err == nil {
		err = ctx.Err()
	}
	w.summary()
	if err != nil {
		w.recordf("could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return statusUnplayed
	}
	w.recordf("result: the rule was broken %d times (trouble: %t)", broken, trouble)
	fmt.Printf("the rule was broken %d times\n", broken)
	if broken > 0 {
		return statusBroken
	}
	return statusHeld
}

// pause sleeps for a duration or until the context is done.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
