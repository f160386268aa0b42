package engine

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlainContentAgreesWithParser checks that plainContent accepts only chunks whose text it
// can return as it is, and leaves chunks with escapes, a finish reason or usage to parseChunk.
func TestPlainContentAgreesWithParser(t *testing.T) {
	tests := []struct {
		name  string
		data  string
		text  string
		plain bool
	}{
		{name: "plain", data: `{"choices":[{"index":0,"delta":{"content":" lot"},"finish_reason":null}]}`, text: " lot", plain: true},
		{name: "escaped", data: `{"choices":[{"index":0,"delta":{"content":"a\n"},"finish_reason":null}]}`},
		{name: "quoted end", data: `{"choices":[{"index":0,"delta":{"content":"a\"}"},"finish_reason":null}]}`},
		{name: "finish reason", data: `{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]}`},
		{name: "with usage", data: `{"choices":[{"delta":{"content":"a"},"finish_reason":null}],"usage":{"prompt_tokens":1}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, ok := plainContent([]byte(test.data))
			require.Equal(t, test.plain, ok)
			require.Equal(t, test.text, string(text))
		})
	}
}

// FuzzRead checks that any stream is read without a panic, that a stream without its closing
// event fails, and that plainContent and parseChunk return the same text.
func FuzzRead(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" lot\"},\"finish_reason\":null}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"usage\":{\"prompt_tokens\":3}}\n\ndata: [DONE]\n"))
	f.Add([]byte(": comment\ndata:{\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var text strings.Builder
		_, err := readCompletion(bytes.NewReader(data), func(piece []byte) { text.Write(piece) })
		if err == nil && !bytes.Contains(data, doneData) {
			t.Fatal("a stream without a closing event was accepted as complete")
		}
		if content, ok := plainContent(data); ok {
			chunk, err := parseChunk(data)
			if err == nil && len(chunk.Choices) == 1 && chunk.Choices[0].Delta.Content != "" {
				require.Equal(t, chunk.Choices[0].Delta.Content, string(content))
			}
		}
	})
}
