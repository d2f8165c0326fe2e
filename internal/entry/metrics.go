package entry

import (
	"fmt"
	"net/http"
	"reflect"
)

// writeMetrics writes the counters in the text form of Prometheus.
func (e *Entry) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	counters := reflect.ValueOf(&e.core.Counters).Elem()
	for index := range counters.NumField() {
		counter := counters.Field(index).Addr().Interface()
		if value, ok := counter.(interface{ Load() int64 }); ok {
			_, _ = fmt.Fprintf(w, "wigeond_%s %d\n", counters.Type().Field(index).Name, value.Load())
		}
	}
}
