// Package logs writes log lines without ever holding up the code that logs.
//
// Lines go through a bounded queue to one writer. When the queue is full a line
// is dropped and counted, and the writer says how many were. Writing directly was
// rejected: a slow terminal or pipe would stop packets.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const queueLines = 16384

// Writer is an io.Writer that never blocks.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	closing sync.Once
}

// NewWriter returns a writer that copies lines to a slower one.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		var reported int64
		for line := range w.lines {
			// An error here has nowhere to go: this is the log.
			_, _ = to.Write(line)
			if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
				_, _ = fmt.Fprintf(to, "time=%s msg=\"logs: lines dropped\" Lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped-reported)
				reported = dropped
			}
		}
	}()
	return w
}

// Write queues one line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes out what is queued. Nothing may be logged afterwards.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.lines) })
	<-w.done
}

// New returns a logger that writes key=value lines.
func New(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

// NewJSON returns a logger that writes one JSON object a line, within a Budget.
func NewJSON(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(NewBudget(slog.NewJSONHandler(w, nil)))
}
