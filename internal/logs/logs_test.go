package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/logs"
)

func TestRateLimitAppliesPerMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := slog.New(logs.NewRateLimitHandler(slog.NewTextHandler(&out, nil)))
		for range 1000 {
			log.Info("flow placed")
		}
		log.Info("server dead")
		is.Equal(strings.Count(out.String(), "flow placed"), 200)
		is.Equal(strings.Count(out.String(), "server dead"), 1) // not suppressed by the flood
		time.Sleep(time.Second)
		log.Info("flow placed")
		is.True(strings.Contains(out.String(), `msg="logs: rate limit exceeded, lines suppressed" Message="flow placed" Lines=800`))
		is.Equal(strings.Count(out.String(), `msg="flow placed"`), 201)
	})
}

// blockedWriter blocks each Write until released is closed, like a pipe without a reader.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(data []byte) (int, error) {
	<-b.released
	return len(data), nil
}

func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	to := blockedWriter{make(chan struct{})}
	w := logs.NewWriter(to)
	for range 100_000 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped() > 0)
	close(to.released)
	w.Close()
}

func BenchmarkLine(b *testing.B) {
	w := logs.NewWriter(io.Discard)
	log := logs.NewJSON(w)
	b.ReportAllocs()
	for range b.N {
		log.Info("tagged: flow placed", "Flow", "100.64.0.14:1025>198.18.0.1:8443", "Backend", "i-9b12e1748c", "Busy", 1, "Open", 3, "Version", 4)
	}
	w.Close()
}
