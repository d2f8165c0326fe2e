// Package logs writes log lines without blocking the code that logs.
//
// Lines go through a bounded queue to one goroutine that writes them. If the queue is full,
// new lines are dropped and counted, and the number of dropped lines is logged later. Direct
// writing was rejected, because a slow terminal or pipe would block the forwarding of packets.
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

// maxQueuedLines limits the number of lines that wait to be written.
const maxQueuedLines = 16384

// Writer is an io.Writer that never blocks. It expects one whole line per call of Write.
type Writer struct {
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Int64
	closeOnce sync.Once
}

// NewWriter returns a Writer that copies lines to another writer in the background.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		var reported int64
		for line := range w.lines {
			// Errors cannot be reported, because this is the log itself.
			_, _ = to.Write(line)
			if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
				_, _ = fmt.Fprintf(to, "time=%s msg=\"logs: queue was full, lines dropped\" Lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped-reported)
				reported = dropped
			}
		}
	}()
	return w
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

// New returns a logger that writes lines of key=value pairs.
func New(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

// NewJSON returns a logger that writes one JSON object per line and limits the rate of each
// message as RateLimitHandler does.
func NewJSON(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(NewRateLimitHandler(slog.NewJSONHandler(w, nil)))
}
