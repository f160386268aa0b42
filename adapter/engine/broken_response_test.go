package engine_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/engine"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/standin/raw"
)

// TestBrokenResponseIsInDoubt guards against a completion that is taken for whole, or for not run, because
// of a response that net/http accepts.
func TestBrokenResponseIsInDoubt(t *testing.T) {
	const (
		promptBytes = 16 << 20
		chunk       = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
		usage       = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n"
		stream      = chunk + usage + "data: [DONE]\n\n"
		fields      = "Content-Type: text/event-stream\r\n"
	)
	tests := []struct {
		name     string
		response raw.Response
		sound    bool
	}{
		{name: "no length, reset", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + chunk + usage, Ending: raw.Reset}},
		{name: "no length, closed", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + stream, Ending: raw.Close}, sound: true},
		{name: "blank after the name of the transfer encoding", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n1000\r\n" + stream, Ending: raw.Close}},
		{name: "control byte in a name", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n" + fields + "Na\x01me: 1\r\n\r\n" + stream, Ending: raw.Close}},
		{name: "status 000", response: raw.Response{Bytes: "HTTP/1.1 000 Error\r\n" + fields + "\r\n" + stream, Ending: raw.Close}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := raw.New(test.response)
			require.NoError(t, err)
			defer server.Close()
			c := engine.New(engine.Config{Address: server.Address()})
			defer c.Close()
			_, err = c.Complete(t.Context(), home.NewPrompt(home.PromptConfig{
				Program: program.NewID("caller", "key"), MaxTokens: 1, Messages: []program.Message{program.NewMessage(program.RoleUser, strings.Repeat("a", promptBytes))},
			}), func([]byte) {})
			if test.sound {
				require.NoError(t, err)
				return
			}
			require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "%v", err)
			require.Equal(t, program.KindUnavailable, program.AsError(err).Kind(), "%v", err)
		})
	}
}
