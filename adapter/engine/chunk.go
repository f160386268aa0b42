package engine

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Parts of the JSON of a chunk as engines write it, without spaces.
var (
	contentPrefix    = []byte(`"delta":{"content":"`)
	contentSuffix    = []byte(`"}`)
	nullFinishReason = []byte(`"finish_reason":null`)
	usagePrefix      = []byte(`"usage":{`)
)

// plainContent returns the text of a chunk without parsing JSON. It returns false if the
// chunk holds more than text or the text has escapes; such chunks are rare and are left to
// parseChunk.
func plainContent(data []byte) ([]byte, bool) {
	start := bytes.Index(data, contentPrefix)
	if start < 0 || !bytes.Contains(data, nullFinishReason) || bytes.Contains(data, usagePrefix) {
		return nil, false
	}
	rest := data[start+len(contentPrefix):]
	end := bytes.Index(rest, contentSuffix)
	if end < 0 {
		return nil, false
	}
	text := rest[:end]
	if bytes.IndexByte(text, '\\') >= 0 || bytes.IndexByte(text, '"') >= 0 {
		return nil, false
	}
	return text, true
}

// parseChunk decodes any chunk.
func parseChunk(data []byte) (chatChunk, error) {
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, trace.Wrap(err, "decode completion chunk")
	}
	return c, nil
}
