package entry

import (
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeonmoor.example/internal/source"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// metricSet holds the metrics of one balancer, which are served in the text format of
// Prometheus.
type metricSet struct {
	set          *metrics.Set
	handshake    *metrics.PrometheusHistogram
	platformCall *metrics.PrometheusHistogram
	decision     *metrics.PrometheusHistogram
	// rejectedItems counts invalid published items by reason.
	rejectedItems map[source.Reason]*metrics.Counter
}

// Upper bounds of the histograms' buckets, in seconds. A handshake usually takes one round
// trip, a call to the platform 4 ms, and a decision a few microseconds.
var (
	handshakeBuckets    = []float64{.002, .004, .008, .016, .03, .08, .2, .6, 1.4}
	platformCallBuckets = []float64{.002, .004, .008, .016, .06, .25, .7, 1.5}
	decisionBuckets     = []float64{1e-6, 2e-6, 4e-6, 8e-6, 16e-6, 64e-6, 256e-6, 1e-3}
)

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	rejected := make(map[source.Reason]*metrics.Counter)
	for _, reason := range source.Reasons() {
		rejected[reason] = set.NewCounter(fmt.Sprintf("wigeond_rejected_items_total{reason=%q}", reason))
	}
	return &metricSet{
		rejectedItems: rejected,
		set:           set,
		handshake:     set.NewPrometheusHistogramExt("wigeond_handshake_seconds", handshakeBuckets),
		platformCall:  set.NewPrometheusHistogramExt("wigeond_platform_call_seconds", platformCallBuckets),
		decision:      set.NewPrometheusHistogramExt("wigeond_decision_seconds", decisionBuckets),
	}
}

// register adds the metrics whose values are read from other parts of the balancer.
func (m *metricSet) register(b *Balancer) {
	counters := reflect.ValueOf(&b.core.Counters).Elem()
	for index := range counters.NumField() {
		counter := counters.Field(index).Addr().Interface().(*tagged.Counter)
		name := `wigeond_decisions_total{decision="` + counters.Type().Field(index).Name + `"}`
		m.set.NewGauge(name, func() float64 { return float64(counter.Load()) })
	}
	m.set.NewGauge("wigeond_view_age_seconds", func() float64 { return b.replicaAge().Seconds() })
	m.set.NewGauge("wigeond_view_revision", func() float64 { return float64(state.Revision(b.revision.Load()).Counter()) })
	m.set.NewGauge("wigeond_view_epoch", func() float64 { return float64(state.Revision(b.revision.Load()).Epoch()) })
	m.set.NewGauge("wigeond_view_version", func() float64 { return float64(b.configurationVersion.Load()) })
	m.set.NewGauge("wigeond_platform_epoch", func() float64 { return float64(b.platformEpoch.Load()) })
	m.set.NewGauge("wigeond_members", func() float64 { return float64(b.memberCount.Load()) })
	m.set.NewGauge("wigeond_ready", func() float64 { return boolValue(b.ready.Load()) })
	m.set.NewGauge("wigeond_reads_platform", func() float64 { return boolValue(b.isReader.Load()) })
	m.set.NewGauge("wigeond_evacuated_domains", func() float64 { return float64(len(b.core.Evacuations())) })
	m.set.NewGauge("wigeond_evacuated_open_flows", func() float64 {
		flows := 0
		for _, status := range b.core.Evacuations() {
			flows += status.OpenFlows
		}
		return float64(flows)
	})
	m.set.NewGauge("wigeond_control_dropped_total", func() float64 { return float64(b.droppedWork.Load()) })
}

// boolValue returns 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// observeDecision records the duration of a decision. It is called only for a sample of the
// packets, as reading the clock twice costs as much as a decision.
func (m *metricSet) observeDecision(start time.Time) {
	m.decision.Update(time.Since(start).Seconds())
}

// decisionSampleInterval is the number of packets of which one is timed.
const decisionSampleInterval = 64

func (b *Balancer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	b.metrics.set.WritePrometheus(w)
}
