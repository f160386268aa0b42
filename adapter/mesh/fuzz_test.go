package mesh

import (
	"bytes"
	"context"
	"math"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/frame"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/origin"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/quarantine"
	"github.com/lavendervale/lavendervale/share"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// fuzzShards is the number of shards of the log in fuzz tests.
const fuzzShards = 4

// datagrams is a net.PacketConn that receives the same datagram twice.
type datagrams struct {
	net.PacketConn
	data     []byte
	received int
}

func (d *datagrams) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if d.received == 2 {
		return 0, nil, net.ErrClosed
	}
	d.received++
	return copy(buffer, d.data), &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}, nil
}

// echoStore answers each call with its body.
type echoStore struct{}

func (echoStore) Direct(_ context.Context, _, _ string, body []byte) (int, []byte, error) {
	return 200, body, nil
}

// newFuzzMesh returns a mesh without sockets that serves shards of an empty log.
func newFuzzMesh() *Mesh {
	m := &Mesh{
		config: Config{Name: "self", Weight: 0.8, Shards: fuzzShards, Directory: endpoint.NewDirectory(), Shares: share.New(share.Config{Self: "self"}), Logger: zap.NewNop()},
		peers:  newPeerTable("self", 0.8), suspects: quarantine.NewSuspects(), replicas: newReplicaStore(), store: echoStore{},
		permits: permit.NewIssuer(), quotas: permit.NewWindows(time.Now()), ownQuotas: permit.NewWindows(time.Now()), quotaHistory: permit.NewHistory(), relayed: newRelayTable(), origins: origin.NewStore(),
	}
	m.shardSet = turn.New(turn.Config{
		WriterID: 1, ShardCount: fuzzShards, Log: turntest.NewLog(), Replicator: turntest.NewReplicator(), Logger: zap.NewNop(),
		Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout, ReadTimeout: turn.DefaultReadTimeout, ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter,
		ReplicateEndsAfter: turn.DefaultReplicateEndsAfter, MaxStaleness: turn.DefaultMaxStaleness, IsHome: func(int) bool { return true },
		FindElsewhere:         func(context.Context, string, int) ([]byte, bool, error) { return nil, false, nil },
		FindInMemoryElsewhere: func(context.Context, string) ([]byte, bool) { return nil, false },
	})
	return m
}

// FuzzGossip checks that a datagram of any content is received without a panic, that it adds at
// most the front that it names, and that each shard still has a known home.
func FuzzGossip(f *testing.F) {
	gossips := []*meshpb.Gossip{
		{Name: "front-1", Domain: "a", Incarnation: 1, Sequence: 1, Weight: 0.8},
		{Name: "front-1", Sequence: 1, Weight: math.NaN(), Leaving: true, Starting: true, StoreLost: true},
		{Name: "front-1", Sequence: 1, Weight: math.Inf(1), Loads: []*meshpb.EndpointLoad{{Endpoint: 7, Running: math.MaxUint32}}},
		{Name: "front-1", Sequence: math.MaxUint64, Incarnation: math.MaxUint64, Weight: -1, Crashes: []*meshpb.Crash{{Request: 1, Incarnation: 2, BeganAgoUs: math.MaxUint64}}, ClearedRequests: []uint64{1, 2}},
		{Name: "self", Sequence: 1},
		{Name: "front-1", Sequence: 1, Weight: 1, Limits: []*meshpb.EndpointLimit{{Endpoint: 7, Named: true, PerSecond: math.Inf(1), AgeMs: math.MaxUint32}}, MixedServices: []uint64{1, 1}},
		{Name: "front-1", Sequence: 1, Weight: 1, Shares: []*meshpb.CustomerUse{{Customer: math.MaxUint64, UseMs: math.MaxUint32, DemandMs: 7}, {}, {}}},
		{Name: "front-1", Sequence: 1, Weight: 1, Shares: []*meshpb.CustomerUse{{Customer: 1, UseMs: maxReportedMS, DemandMs: maxReportedMS}}},
		{Name: "front-1", Sequence: 1, Weight: 1, Speeds: []*meshpb.EndpointSpeed{{Endpoint: 7, Ratio: math.NaN(), Observations: math.MaxUint32, AgeMs: math.MaxUint32}, {Endpoint: 7, Ratio: 0.5, Observations: 1}}},
	}
	for _, g := range gossips {
		data, err := proto.Marshal(g)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newFuzzMesh()
		m.datagrams = &datagrams{data: data}
		m.receiveGossip()
		require.LessOrEqual(t, m.KnownCount(), 1)
		require.NotContains(t, m.peers.peers, m.config.Name)
		now := time.Now()
		for shard := range fuzzShards {
			for _, includeSelf := range []bool{true, false} {
				home := m.peers.home(shard, now, includeSelf, true).name
				if home != m.config.Name {
					require.Contains(t, m.peers.peers, home)
				}
			}
		}
		crashes, cleared := m.suspects.Recent(now)
		require.LessOrEqual(t, len(crashes), 256)
		require.LessOrEqual(t, len(cleared), 256)
		m.config.Directory.Loads()
		use, fairShare := m.config.Shares.(*share.Ledger).Level("c", 1, now)
		require.False(t, math.IsNaN(use) || math.IsNaN(fairShare))
		m.config.Directory.RefreshSpeeds(now)
		m.config.Directory.Speeds(now)
	})
}

// FuzzRequest checks that a request of any content is handled without a panic, and that all
// replies can be read.
func FuzzRequest(f *testing.F) {
	record := []byte{0x22, 0x06, 0x0a, 0x01, 'p', 0x12, 0x01, 'a'}
	requests := []*meshpb.Request{
		{From: "front-1", Body: &meshpb.Request_Begin{Begin: &meshpb.Begin{Program: "p", Attempt: "a", Budget: 10, Tokens: 3}}},
		{Body: &meshpb.Request_Begin{Begin: &meshpb.Begin{Program: "p", Attempt: "a", Previous: "b", Budget: math.MaxInt64, Tokens: math.MinInt64}}},
		{Body: &meshpb.Request_End{End: &meshpb.End{Program: "p", Attempt: "a", Keep: true, Previous: "a", Text: []byte("t"), RetentionMs: math.MaxInt64}}},
		{Body: &meshpb.Request_Find{Find: &meshpb.Find{Turn: "a", Shards: []uint32{0, math.MaxUint32}}}},
		{Body: &meshpb.Request_Store{Store: &meshpb.StoreCall{Method: "GET", Target: "/", Body: []byte("b")}}},
		{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: 1, Records: [][]byte{record, {0xff}}}}},
		{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: 1, Adopt: true, Records: [][]byte{record, {}}}}},
		{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: math.MaxUint32, Settled: true, Records: [][]byte{record}}}},
		{Body: &meshpb.Request_TakePermit{TakePermit: &meshpb.TakePermit{Endpoint: 7, StartedUnixMs: -1, PerSecond: math.NaN()}}},
		{Body: &meshpb.Request_TakePermit{TakePermit: &meshpb.TakePermit{PerSecond: math.Inf(1)}}},
		{Body: &meshpb.Request_TakeQuota{TakeQuota: &meshpb.TakeQuota{Customer: "c", Most: math.NaN(), SpanUs: math.MinInt64}}},
		{Body: &meshpb.Request_TakeQuota{TakeQuota: &meshpb.TakeQuota{Customer: "c", Most: -1, SpanUs: math.MaxInt64, GiveBack: true}}},
		{Body: &meshpb.Request_KeepOrigin{KeepOrigin: &meshpb.KeepOrigin{}}},
		{Body: &meshpb.Request_FindOrigin{FindOrigin: &meshpb.FindOrigin{Attempt: "a"}}},
		{Body: &meshpb.Request_Fetch{Fetch: &meshpb.Fetch{Shard: math.MaxUint32}}},
		{},
	}
	for _, r := range requests {
		var wire bytes.Buffer
		require.NoError(f, frame.NewWriter(&wire).Write(r))
		f.Add(wire.Bytes())
	}
	f.Add([]byte{0, 0, 0, 1, 0x0a})
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &meshpb.Request{}
		if frame.NewReader(bytes.NewReader(data)).Read(request) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			m := newFuzzMesh()
			var out bytes.Buffer
			ctx, cancel := context.WithTimeout(t.Context(), handleTimeout)
			defer cancel()
			require.NoError(t, requestHandler{mesh: m, out: frame.NewWriter(&out)}.handle(ctx, request))
			require.NotZero(t, out.Len(), "a request without a reply")
			replies := frame.NewReader(&out)
			for out.Len() > 0 {
				require.NoError(t, replies.Read(&meshpb.Reply{}))
			}
			time.Sleep(time.Minute)
		})
	})
}
