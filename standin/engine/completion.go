package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	bytesPerToken = 4
	// tokensPerMessage is the overhead of each message, in addition to its content.
	tokensPerMessage = 4
)

// vocabulary holds the tokens of generated text. Each must be bytesPerToken bytes long,
// because a request that continues a partial response counts the tokens of the partial
// response by its length.
var vocabulary = []string{" lot", " ton", " sac", " ora", " zi2", " pod", " mm3", " est", " val", " kg4", " ok5", " fin"}

// request is the body of a chat completion request.
type request struct {
	Model     string `json:"model"`
	MaxTokens int64  `json:"max_tokens"`
	// User identifies the program, the key of the prompt cache.
	User string `json:"user"`
	// ContinueFinalMessage means that the last message is a partial response to be
	// continued.
	ContinueFinalMessage bool `json:"continue_final_message"`
	Messages             []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// completion is a chat completion in progress.
type completion struct {
	engine  *Engine
	request request
	// promptMessages holds the role and the content of each message.
	promptMessages []string
	// tokensByMessage holds the token count of each element of promptMessages.
	tokensByMessage []int64
	// promptTokens is the sum of tokensByMessage.
	promptTokens int64
	// cachedTokens is the part of promptTokens that was found in the cache.
	cachedTokens int64
	response     http.ResponseWriter
	flush        func()
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.currentFaults()
	if faults.RefuseStatus != 0 {
		http.Error(w, "injected fault: request refused", faults.RefuseStatus)
		return
	}
	c := &completion{engine: e, request: req, response: w, flush: func() { _ = http.NewResponseController(w).Flush() }}
	c.countPromptTokens()
	if faults.CrashOnText != "" && strings.Contains(strings.Join(c.promptMessages, "\n"), faults.CrashOnText) {
		e.countCrash()
		panic(http.ErrAbortHandler)
	}
	e.joinBatch()
	defer e.leaveBatch()
	c.serve(r.Context(), faults)
}

// countPromptTokens sets the messages of the prompt and their token counts. A message
// has one token for each bytesPerToken bytes of its content, rounded up, and
// tokensPerMessage more.
func (c *completion) countPromptTokens() {
	for _, m := range c.request.Messages {
		tokens := int64((len(m.Content)+bytesPerToken-1)/bytesPerToken + tokensPerMessage)
		c.promptMessages = append(c.promptMessages, m.Role+"\n"+m.Content)
		c.tokensByMessage = append(c.tokensByMessage, tokens)
		c.promptTokens += tokens
	}
}

// serve waits for the prefill time of the uncached prompt and streams the response.
func (c *completion) serve(ctx context.Context, faults Faults) {
	c.engine.mu.Lock()
	c.cachedTokens = c.engine.cache.matchedTokens(c.request.User, c.promptMessages)
	c.engine.mu.Unlock()
	if timer.Sleep(ctx, c.engine.prefillTime(c.promptTokens-c.cachedTokens)) != nil {
		return
	}
	c.response.Header().Set("Content-Type", "text/event-stream")
	c.generate(ctx, faults)
}

// generate streams the response, stores the prompt and the response in the cache and
// sends the final events. It returns false if the stream ended early. The text depends
// only on the prompt without the partial response, so that a request that continues a
// partial response gets the text that the interrupted request would have got.
func (c *completion) generate(ctx context.Context, faults Faults) bool {
	resumedTokens := c.resumedTokens()
	outputTokens := min(c.request.MaxTokens, c.engine.config.OutputTokens-resumedTokens)
	seed := xxhash.Sum64String(strings.Join(c.promptMessages[:len(c.promptMessages)-c.partialMessageCount()], "\n"))
	var text strings.Builder
	for i := range outputTokens {
		if faults.CutAfterTokens > 0 && i >= faults.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if faults.HangAfterTokens > 0 && i >= faults.HangAfterTokens {
			<-ctx.Done()
			return false
		}
		if i > 0 && timer.Sleep(ctx, c.engine.timePerToken()) != nil {
			return false
		}
		token := vocabulary[(seed+uint64(resumedTokens+i)*7)%uint64(len(vocabulary))]
		text.WriteString(token)
		c.sendEvent(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, token))
	}
	c.updateCache(text.String())
	c.sendEnd(outputTokens, resumedTokens)
	return true
}

// partialMessageCount returns the number of messages at the end of the prompt that hold
// a partial response to be continued: 0 or 1.
func (c *completion) partialMessageCount() int {
	if c.request.ContinueFinalMessage && len(c.promptMessages) > 0 {
		return 1
	}
	return 0
}

// resumedTokens returns the number of tokens of the partial response that the request
// continues, or 0 if there is none.
func (c *completion) resumedTokens() int64 {
	if c.partialMessageCount() == 0 {
		return 0
	}
	return int64(len(c.request.Messages[len(c.request.Messages)-1].Content) / bytesPerToken)
}

// sendEnd sends the finish reason, the token usage and the event that marks the end of
// the stream.
func (c *completion) sendEnd(outputTokens, resumedTokens int64) {
	finishReason := "stop"
	if outputTokens+resumedTokens < c.engine.config.OutputTokens {
		finishReason = "length"
	}
	c.sendEvent(fmt.Sprintf(`{"choices":[{"index":0,"delta":{},"finish_reason":%q}]}`, finishReason))
	c.sendEvent(fmt.Sprintf(
		`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`,
		c.promptTokens, outputTokens, c.cachedTokens))
	c.sendEvent("[DONE]")
}

// sendEvent sends a server-sent event without buffering it.
func (c *completion) sendEvent(data string) {
	fmt.Fprintf(c.response, "data: %s\n\n", data)
	c.flush()
}

// updateCache replaces the program's entry in the cache by the prompt and the response,
// which includes the partial response that the request continued.
func (c *completion) updateCache(text string) {
	completeCount := len(c.promptMessages) - c.partialMessageCount()
	if c.partialMessageCount() == 1 {
		text = c.request.Messages[completeCount].Content + text
	}
	promptMessages := append(c.promptMessages[:completeCount:completeCount], "assistant\n"+text)
	tokensByMessage := append(c.tokensByMessage[:completeCount:completeCount], int64(len(text)/bytesPerToken+tokensPerMessage))
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.engine.cache.put(c.request.User, promptMessages, tokensByMessage)
}
