package owned

import (
	"reflect"
	"sync/atomic"
)

// Values returns the counters by the names of their fields, so that a new counter
// needs no second mention.
func (c *Counters) Values() map[string]int64 {
	value := reflect.ValueOf(c).Elem()
	all := make(map[string]int64, value.NumField())
	for index := range value.NumField() {
		counter, ok := value.Field(index).Addr().Interface().(*atomic.Int64)
		if ok {
			all[value.Type().Field(index).Name] = counter.Load()
		}
	}
	return all
}
