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

// TestRelayAllocations bounds the allocations that entry and endpoint make
// together to relay one token: two for each process.
func TestRelayAllocations(t *testing.T) {
	const maxAllocations = 4
	site := relaySite(t, 500*time.Microsecond)
	base := rawAllocations(t, func(tokens int64) *http.Request { return engineRequest(t, site, tokens) })
	system := rawAllocations(t, func(tokens int64) *http.Request { return entryRequest(t, site, tokens) })
	t.Logf("allocations a token: engine alone %.2f, system %.2f, relay %.2f", base, system, system-base)
	require.LessOrEqual(t, system-base, float64(maxAllocations))
}

// rawAllocations returns the allocations a token of streams whose client only
// discards bytes; the difference of two lengths leaves out what a call costs.
func rawAllocations(t *testing.T, request func(tokens int64) *http.Request) float64 {
	const short, long = relayTokens / 8, relayTokens / 2
	measure := func(tokens int64) uint64 {
		r := request(tokens)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.Greater(t, discard(t, r), tokens)
		runtime.ReadMemStats(&after)
		return after.Mallocs - before.Mallocs
	}
	measure(short)
	least, most := measure(short), measure(long)
	return float64(most-least) / float64(long-short)
}

func engineRequest(t testing.TB, site *dev.Cluster, tokens int64) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":true}`, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+site.EngineAddress("model-1")+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	return r
}

// entryRequest returns a call as a connect client sends it.
func entryRequest(t testing.TB, site *dev.Cluster, tokens int64) *http.Request {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	p, err := site.Client("entry-1").Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
	require.NoError(t, err)
	message, err := proto.Marshal(&pb.CallRequest{
		Handle: p.Handle(), Number: 1, Work: &pb.CallRequest_Model{Model: &pb.ModelCall{
			Messages: []*pb.Message{{Role: "user", Content: "hello"}}, MaxTokens: tokens,
		}},
	})
	require.NoError(t, err)
	envelope := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	r, err := http.NewRequest(http.MethodPost, site.URL("entry-1")+"/lavendervale.v1.ProgramService/Call", bytes.NewReader(envelope))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/connect+proto")
	r.Header.Set("Connect-Protocol-Version", "1")
	r.Header.Set("Authorization", "Bearer "+site.CallerKey())
	return r
}

func TestRawRequestIsACall(t *testing.T) {
	site := relaySite(t, -1)
	response, err := http.DefaultClient.Do(entryRequest(t, site, 3))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	end := body[bytes.LastIndexByte(body, '{'):]
	require.True(t, json.Valid(end), "the stream ends with %q", end)
	require.Equal(t, "{}", string(bytes.TrimSpace(end)))
}
