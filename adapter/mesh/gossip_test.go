package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestGossipOfABusyFrontFitsADatagram guards against a front that counts as lost because its
// datagrams are too long for the others to decode.
func TestGossipOfABusyFrontFitsADatagram(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
	}{
		{name: "today's site", endpoints: 51},
		{name: "the size to design for", endpoints: 10_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMesh(t, "m")
			for i := range test.endpoints {
				service := fmt.Sprint("s-", i)
				m.config.Directory.Put(endpoint.Registration{ID: fmt.Sprint("i-", i), Service: service, Address: "127.0.0.1:1", State: endpoint.Ready, Slots: 8}, time.Now())
				_, result := m.config.Directory.Pick(endpoint.Query{Service: service}, time.Now())
				require.Equal(t, endpoint.Picked, result)
			}
			g := m.newGossip(time.Now())
			data, err := proto.Marshal(g)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), maxDatagramBytes)
			require.NotEmpty(t, g.GetLoads())
		})
	}
}
