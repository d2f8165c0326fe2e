package entry

import (
	"net/http"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeonmoor.example/internal/tagged"
)

// meters are the counters and histograms of one balancer, served as text.
type meters struct {
	set       *metrics.Set
	handshake *metrics.PrometheusHistogram
	call      *metrics.PrometheusHistogram
	decision  *metrics.PrometheusHistogram
}

// Bounds of the histograms' classes, in seconds. A handshake takes one round trip, a
// call to the platform 4 ms, a decision microseconds.
var (
	handshakeBounds = []float64{.002, .004, .008, .016, .03, .08, .2, .6, 1.4}
	callBounds      = []float64{.002, .004, .008, .016, .06, .25, .7, 1.5}
	decisionBounds  = []float64{1e-6, 2e-6, 4e-6, 8e-6, 16e-6, 64e-6, 256e-6, 1e-3}
)

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:       set,
		handshake: set.NewPrometheusHistogramExt("wigeond_handshake_seconds", handshakeBounds),
		call:      set.NewPrometheusHistogramExt("wigeond_platform_call_seconds", callBounds),
		decision:  set.NewPrometheusHistogramExt("wigeond_decision_seconds", decisionBounds),
	}
}

// publish registers what is counted elsewhere.
func (m *meters) publish(e *Entry) {
	counters := reflect.ValueOf(&e.core.Counters).Elem()
	for index := range counters.NumField() {
		counter := counters.Field(index).Addr().Interface().(*tagged.Counter)
		name := `wigeond_decisions_total{decision="` + counters.Type().Field(index).Name + `"}`
		m.set.NewGauge(name, func() float64 { return float64(counter.Load()) })
	}
	m.set.NewGauge("wigeond_view_age_seconds", func() float64 { return e.age().Seconds() })
	m.set.NewGauge("wigeond_view_revision", func() float64 { return float64(e.reached.Load()) })
	m.set.NewGauge("wigeond_members", func() float64 { return float64(e.members.Load()) })
	m.set.NewGauge("wigeond_ready", func() float64 { return flag(e.ready.Load()) })
	m.set.NewGauge("wigeond_reads_platform", func() float64 { return flag(e.reader.Load()) })
	m.set.NewGauge("wigeond_control_dropped_total", func() float64 { return float64(e.dropped.Load()) })
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// observeDecision is called for every sampleEvery-th packet: reading the clock twice
// for each would cost as much as the decision.
func (m *meters) observeDecision(began time.Time) {
	m.decision.Update(time.Since(began).Seconds())
}

// sampleEvery is how many packets there are to one that is timed.
const sampleEvery = 64

func (e *Entry) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	e.meters.set.WritePrometheus(w)
}
