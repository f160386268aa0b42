package mesh

import (
	"fmt"
	"math"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/quarantine"
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
			m, ledger := newShareMesh(t, "m")
			for i := range test.endpoints {
				ledger.Run(fmt.Sprint("customer-", i), 10*time.Hour, time.Now())
				service := fmt.Sprint("s-", i)
				m.config.Directory.Put(endpoint.Registration{ID: fmt.Sprint("old-", i), Service: service, Version: "v0", State: endpoint.Draining}, time.Now())
				m.config.Directory.Put(endpoint.Registration{ID: fmt.Sprint("i-", i), Service: service, Address: "127.0.0.1:1", State: endpoint.Ready, Slots: 8}, time.Now())
				target, result := m.config.Directory.Pick(endpoint.Query{Service: service}, time.Now())
				require.Equal(t, endpoint.Picked, result)
				m.config.Directory.RecordLimit(target, endpoint.Limit{Named: true, PerSecond: 1.0 / 3}, time.Now())
				m.config.Directory.RecordTokenTime(target, time.Millisecond, time.Now())
				m.config.Directory.RecordResponse(target, true, time.Now())
				m.config.Directory.RecordLeaving(target, time.Now())
				request := quarantine.NewIdentity([][]byte{[]byte(service)}, "program")
				m.RecordCrash(request, uint64(i), time.Now(), time.Now())
				if i%2 == 0 {
					m.RecordCompletion(request)
				}
			}
			m.gossipSequence.Store(speedsEvery*sharesEvery - 1)
			g := m.newGossip(time.Now())
			data, err := proto.Marshal(g)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), maxDatagramBytes)
			require.NotEmpty(t, g.GetLoads())
			require.NotEmpty(t, g.GetLimits())
			require.NotEmpty(t, g.GetMixedServices())
			require.NotEmpty(t, g.GetDepartures())
			require.Len(t, g.GetShares(), maxShares)
			require.NotEmpty(t, g.GetSpeeds())
		})
	}
}

// TestGossipWithoutAProportionChangesNoHome guards against a datagram that makes its sender
// the home of all shards, or excludes this front.
func TestGossipWithoutAProportionChangesNoHome(t *testing.T) {
	m := newTestMesh(t, "m")
	go m.receiveGossip()
	sender, err := net.Dial("udp", m.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	for i, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -1, 1} {
		data, err := proto.Marshal(&meshpb.Gossip{Name: fmt.Sprint("front-", i), Incarnation: 1, Sequence: 1, Weight: weight})
		require.NoError(t, err)
		_, err = sender.Write(data)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return m.AliveCount() > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, m.KnownCount(), "only the last datagram has a weight")
}

// failingDatagrams fails to receive the first datagram.
type failingDatagrams struct {
	net.PacketConn
	failed bool
}

func (d *failingDatagrams) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if !d.failed {
		d.failed = true
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: syscall.ENOBUFS}
	}
	return d.PacketConn.ReadFrom(buffer)
}

func TestFailedReceiveDoesNotEndGossip(t *testing.T) {
	m := newTestMesh(t, "m")
	data, err := proto.Marshal(&meshpb.Gossip{Name: "front-1", Incarnation: 1, Sequence: 1, Weight: 1})
	require.NoError(t, err)
	opened := m.datagrams
	m.datagrams = &failingDatagrams{PacketConn: &datagrams{data: data}}
	m.receiveGossip()
	m.datagrams = opened
	require.Equal(t, 1, m.KnownCount())
}
