package share

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// full returns a ledger with some customers and 300 fronts that report.
func full(customers int) *Ledger {
	l := New(Config{})
	for i := range customers {
		name := fmt.Sprint("customer-", i)
		l.Ask(name, time.Duration(1+i%1000)*time.Millisecond, noon)
		l.Run(name, time.Duration(1+i%997)*time.Millisecond, noon)
	}
	for front := range 300 {
		var uses []Use
		for i := range min(customers, MaxReported) {
			uses = append(uses, Use{Customer: hash(fmt.Sprint("customer-", (front*MaxReported+i)%customers)), AskedMS: 20, UsedMS: 10})
		}
		l.Apply(fmt.Sprint("front-", front), uses, noon)
	}
	return l
}

// TestMemory bounds the state at the design size.
func TestMemory(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for _, test := range []struct {
		customers int
		maxBytes  uint64
	}{{customers: 83, maxBytes: 300 << 10}, {customers: 10_000, maxBytes: 4 << 20}} {
		before := heap()
		l := full(test.customers)
		l.Over("customer-1", 100, noon)
		used := heap() - before
		t.Logf("%d customers, 300 fronts: %d bytes", test.customers, used)
		require.Less(t, used, test.maxBytes)
		runtime.KeepAlive(l)
	}
}

func BenchmarkOver(b *testing.B) {
	for _, customers := range []int{83, 10_000} {
		b.Run(fmt.Sprint(customers, " customers"), func(b *testing.B) {
			l := full(customers)
			now, requests := noon, 0
			b.ReportAllocs()
			for b.Loop() {
				// 10,000 requests a second, of all customers in turn.
				now = now.Add(100 * time.Microsecond)
				requests++
				l.customers[requests%customers].activeAt = now.Sub(l.startedAt)
				l.Ask("customer-7", time.Millisecond, now)
				l.Over("customer-7", 100, now)
			}
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, customers := range []int{83, 10_000} {
		b.Run(fmt.Sprint(customers, " customers"), func(b *testing.B) {
			l := full(customers)
			b.ReportAllocs()
			for b.Loop() {
				l.refresh(noon)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, customers := range []int{83, 10_000} {
		b.Run(fmt.Sprint(customers, " customers"), func(b *testing.B) {
			l := full(customers)
			b.ReportAllocs()
			for b.Loop() {
				l.Report(noon)
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, customers := range []int{83, 10_000} {
		b.Run(fmt.Sprint(customers, " customers"), func(b *testing.B) {
			l := full(customers)
			uses := l.Report(noon)
			b.ReportAllocs()
			for b.Loop() {
				l.Apply("front-7", uses, noon)
			}
		})
	}
}
