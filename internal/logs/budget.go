package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the lines of one message. A balancer of the users' sites
// places up to 60 flows a second.
const linesPerSecond = 200

// Budget is a slog.Handler that passes a bounded number of lines of each message on in
// a second, and says once a second how many it has left out. A bound for all lines
// together was rejected: a flood of one message would hide the others.
type Budget struct {
	next  slog.Handler
	state *budgetState
}

type budgetState struct {
	mutex  sync.Mutex
	second time.Time
	lines  map[string]int
}

// NewBudget returns a handler that passes lines on to another.
func NewBudget(next slog.Handler) *Budget {
	return &Budget{next: next, state: &budgetState{lines: make(map[string]int)}}
}

// Enabled implements slog.Handler.
func (b *Budget) Enabled(ctx context.Context, level slog.Level) bool {
	return b.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (b *Budget) Handle(ctx context.Context, record slog.Record) error {
	leftOut, pass := b.state.take(record)
	for message, count := range leftOut {
		report := slog.NewRecord(record.Time, slog.LevelInfo, "logs: lines left out", 0)
		report.AddAttrs(slog.String("Message", message), slog.Int("Lines", count))
		if err := b.next.Handle(ctx, report); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return b.next.Handle(ctx, record)
}

// take counts a line, and returns what was left out in a second that has ended.
func (s *budgetState) take(record slog.Record) (leftOut map[string]int, pass bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second := record.Time.Truncate(time.Second); !second.Equal(s.second) {
		for message, count := range s.lines {
			if count > linesPerSecond {
				if leftOut == nil {
					leftOut = make(map[string]int)
				}
				leftOut[message] = count - linesPerSecond
			}
		}
		clear(s.lines)
		s.second = second
	}
	s.lines[record.Message]++
	return leftOut, s.lines[record.Message] <= linesPerSecond
}

// WithAttrs implements slog.Handler.
func (b *Budget) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Budget{next: b.next.WithAttrs(attrs), state: b.state}
}

// WithGroup implements slog.Handler.
func (b *Budget) WithGroup(name string) slog.Handler {
	return &Budget{next: b.next.WithGroup(name), state: b.state}
}
