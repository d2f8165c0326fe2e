package cost_test

import (
	"testing"

	"wigeonmoor.example/internal/cost"
)

// Errors among usual answers must be told apart, and a route whose answers have all become smaller
// must not look faulty for long.
func TestShortAnswers(t *testing.T) {
	var s cost.Size
	for index := range 200 {
		if s.Observe(uint32(700 + index%7*300)) {
			t.Fatal("a usual answer is short")
		}
	}
	if !s.Observe(230) {
		t.Error("an error is not short")
	}
	short := 0
	for range 1000 {
		if s.Observe(230) {
			short++
		}
	}
	if short > 300 {
		t.Errorf("%d of 1,000 answers of the new size are short", short)
	}
}
