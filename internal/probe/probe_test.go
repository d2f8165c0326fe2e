package probe_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/probe"
)

// ReadLoad ignores unknown fields. A report without Healthy counts as unhealthy.
func TestReadLoad(t *testing.T) {
	is := is.New(t)
	load, err := probe.ReadLoad(strings.NewReader(`{"Open": 12, "Healthy": true, "Queue": 3}`))
	is.NoErr(err)
	is.Equal(load, probe.Load{Open: 12, Healthy: true})
	load, err = probe.ReadLoad(strings.NewReader(`{}`))
	is.NoErr(err)
	is.Equal(load, probe.Load{})
	_, err = probe.ReadLoad(strings.NewReader(`{"Open": -1}`))
	is.True(err != nil) // Open is negative
}

func FuzzReadLoad(f *testing.F) {
	f.Add([]byte(`{"Open": 12, "Healthy": true}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Only a panic fails this test.
		_, _ = probe.ReadLoad(bytes.NewReader(data))
	})
}
