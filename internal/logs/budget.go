package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond limits the lines with the same message. A balancer places up to 60
// flows per second and logs each of them.
const maxLinesPerSecond = 200

// RateLimitHandler is a slog.Handler that limits the number of lines per second separately for
// each message. With the first line after a second in which it has suppressed lines, it logs
// their number. A common limit for all lines was rejected, because a flood of one message would suppress the others.
type RateLimitHandler struct {
	next  slog.Handler
	state *rateLimitState
}

// rateLimitState is the state that a handler shares with those derived from it.
type rateLimitState struct {
	mutex  sync.Mutex
	second time.Time
	// lines counts the lines of the current second by message.
	lines map[string]int
}

// NewRateLimitHandler returns a handler that passes records to next within the limit.
func NewRateLimitHandler(next slog.Handler) *RateLimitHandler {
	return &RateLimitHandler{next: next, state: &rateLimitState{lines: make(map[string]int)}}
}

// Enabled implements slog.Handler.
func (h *RateLimitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *RateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
	suppressed, allowed := h.state.countLine(record)
	for message, count := range suppressed {
		report := slog.NewRecord(record.Time, slog.LevelInfo, "logs: rate limit exceeded, lines suppressed", 0)
		report.AddAttrs(slog.String("Message", message), slog.Int("Lines", count))
		if err := h.next.Handle(ctx, report); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.next.Handle(ctx, record)
}

// countLine counts a line and reports whether it is allowed. With the first line of a new
// second it also returns how many lines of each message were suppressed in the last one.
func (s *rateLimitState) countLine(record slog.Record) (suppressed map[string]int, allowed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second := record.Time.Truncate(time.Second); !second.Equal(s.second) {
		for message, count := range s.lines {
			if count > maxLinesPerSecond {
				if suppressed == nil {
					suppressed = make(map[string]int)
				}
				suppressed[message] = count - maxLinesPerSecond
			}
		}
		clear(s.lines)
		s.second = second
	}
	s.lines[record.Message]++
	return suppressed, s.lines[record.Message] <= maxLinesPerSecond
}

// WithAttrs implements slog.Handler.
func (h *RateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimitHandler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *RateLimitHandler) WithGroup(name string) slog.Handler {
	return &RateLimitHandler{next: h.next.WithGroup(name), state: h.state}
}
