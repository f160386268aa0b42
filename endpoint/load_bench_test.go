package endpoint_test

import (
	"fmt"
	"testing"

	"github.com/lavendervale/lavendervale/endpoint"
)

// BenchmarkUpdatePeerLoads measures one load report of many instances with requests at 20 endpoints
// each.
func BenchmarkUpdatePeerLoads(b *testing.B) {
	for _, size := range []struct{ instances, endpoints int }{{8, 16}, {84, 46}, {300, 3000}} {
		b.Run(fmt.Sprintf("%d instances, %d endpoints", size.instances, size.endpoints), func(b *testing.B) {
			d := newDirectory(size.endpoints)
			reports := make([][]endpoint.Load, size.instances)
			for i := range reports {
				for j := range 20 {
					reports[i] = append(reports[i], endpoint.Load{Endpoint: endpoint.Key(fmt.Sprint("e-", (7*i+j)%size.endpoints)), Running: 1})
				}
				d.UpdatePeerLoads(fmt.Sprint("front-", i), reports[i], noon)
			}
			for i := 0; b.Loop(); i++ {
				d.UpdatePeerLoads(fmt.Sprint("front-", i%size.instances), reports[i%size.instances], noon)
			}
		})
	}
}
