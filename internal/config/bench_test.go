package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
)

// BenchmarkCapacityCompile measures compiling a configuration of many services of which one
// has changed.
func BenchmarkCapacityCompile(b *testing.B) {
	for _, count := range []int{50, 145, 400, 1300} {
		b.Run(fmt.Sprint("Services=", count), func(b *testing.B) {
			fleet := model.FleetConfig{Balancers: 1, Domains: 1}
			for index := range count {
				fleet.Services = append(fleet.Services, model.ServiceConfig{Name: fmt.Sprint("service-", index), Backends: 7})
			}
			documents := fleet.Documents()
			first, err := config.Render(documents, config.Bundle{}, 1)
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			compiled, err := config.Compile(first, "fabric", nil)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			documents.Services[0].Backends[0].State = config.Leaving
			second, err := config.Render(documents, first, 2)
			if err != nil {
				b.Fatal(err)
			}
			changed, err := config.Compile(second, "fabric", compiled)
			if err != nil {
				b.Fatal(err)
			}
			var later runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&later)
			b.ResetTimer()
			for b.Loop() {
				if _, err := config.Compile(second, "fabric", compiled); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
			b.ReportMetric(float64(len(first.Index.Data))/1024, "KB-index")
			b.ReportMetric(float64(len(first.Values[len(first.Values)-1].Data))/1024, "KB-value")
			b.ReportMetric(float64(later.HeapAlloc-after.HeapAlloc)/1024, "KB-next-version")
			runtime.KeepAlive(compiled)
			runtime.KeepAlive(changed)
		})
	}
}
