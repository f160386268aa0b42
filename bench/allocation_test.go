package bench

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/dev"
)

// TestRelayAllocations bounds the allocations of entry and endpoint for relaying
// one token. Each of the two processes may allocate twice.
func TestRelayAllocations(t *testing.T) {
	const maxAllocations = 4
	cluster := startRelayCluster(t, 500*time.Microsecond)
	engineOnly := allocationsPerToken(t, func(tokens int64) *http.Request { return engineRequest(t, cluster, tokens) })
	throughSystem := allocationsPerToken(t, func(tokens int64) *http.Request { return entryRequest(t, cluster, tokens) })
	t.Logf("allocations per token: engine only %.2f, through the system %.2f, difference %.2f", engineOnly, throughSystem, throughSystem-engineOnly)
	require.LessOrEqual(t, throughSystem-engineOnly, float64(maxAllocations))
}

// allocationsPerToken returns the allocations of this process per streamed token
// with a client that discards the response. It compares streams of two lengths, so
// that the fixed cost of a call cancels out.
func allocationsPerToken(t *testing.T, request func(tokens int64) *http.Request) float64 {
	const short, long = relayTokens / 8, relayTokens / 2
	measure := func(tokens int64) uint64 {
		r := request(tokens)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.Greater(t, discardResponse(t, r), tokens)
		runtime.ReadMemStats(&after)
		return after.Mallocs - before.Mallocs
	}
	measure(short)
	shortAllocations, longAllocations := measure(short), measure(long)
	return float64(longAllocations-shortAllocations) / float64(long-short)
}

// engineRequest returns a streaming completion request to the engine, which
// bypasses the system.
func engineRequest(t testing.TB, cluster *dev.Cluster, tokens int64) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+cluster.EngineAddress("model-1")+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	return r
}

// entryRequest starts a program and returns the HTTP request of a call, encoded as
// a Connect client encodes it.
func entryRequest(t testing.TB, cluster *dev.Cluster, tokens int64) *http.Request {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	p, err := cluster.Client("entry-1").Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
	require.NoError(t, err)
	message, err := proto.Marshal(&pb.CallRequest{
		Handle: p.Handle(), Number: 1, Work: &pb.CallRequest_Model{Model: &pb.ModelCall{
			Messages: []*pb.Message{{Role: "user", Content: "hello"}}, MaxTokens: tokens,
		}},
	})
	require.NoError(t, err)
	envelope := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	r, err := http.NewRequest(http.MethodPost, cluster.URL("entry-1")+"/lavendervale.v1.ProgramService/Call", bytes.NewReader(envelope))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/connect+proto")
	r.Header.Set("Connect-Protocol-Version", "1")
	r.Header.Set("Authorization", "Bearer "+cluster.CallerKey())
	return r
}

// TestRawRequestIsAccepted checks that the hand-encoded request is accepted: a
// rejected one would make the other measurements meaningless.
func TestRawRequestIsAccepted(t *testing.T) {
	cluster := startRelayCluster(t, -1)
	response, err := http.DefaultClient.Do(entryRequest(t, cluster, 3))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	end := body[bytes.LastIndexByte(body, '{'):]
	require.True(t, json.Valid(end), "end of the stream is not valid JSON: %q", end)
	require.Equal(t, "{}", string(bytes.TrimSpace(end)))
}
