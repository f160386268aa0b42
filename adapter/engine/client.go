package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/lavendervale/lavendervale/adapter/transport"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

const (
	dialTimeout = 2 * time.Second
	// maxErrorBytes limits the part of an error response that is read for the message.
	maxErrorBytes = 4 << 10
	// maxIdleConns limits the idle connections to the engine.
	maxIdleConns = 256
)

// Client sends requests to one engine; it implements home.Engine.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the engine.
	Address string
}

// New returns a client of the engine at c.Address. It does not connect yet.
func New(c Config) *Client {
	t := transport.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	})
	return &Client{baseURL: "http://" + c.Address, httpClient: &http.Client{Transport: t}}
}

// Close closes the idle connections. Requests in progress continue.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Complete runs a completion and passes its text to emit as it arrives; see home.Engine.
// The error is a *program.Error: its outcome is program.NotRun if the engine did no work,
// and program.InDoubt if that is unknown.
func (c *Client) Complete(ctx context.Context, prompt home.Prompt, emit func(text []byte)) (home.Completion, error) {
	req, err := c.completionRequest(ctx, prompt)
	if err != nil {
		return home.Completion{}, engineError(program.KindInvalid, program.NotRun, err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return home.Completion{}, requestError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return home.Completion{}, statusError(resp)
	}
	completion, err := readCompletion(resp.Body, emit)
	if err != nil {
		return home.Completion{}, streamError(ctx, err)
	}
	return completion, nil
}

// Release makes the engine delete its prompt cache of a program. It succeeds if the engine
// has none.
func (c *Client) Release(ctx context.Context, id program.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.baseURL+"/v1/cache/"+id.String(), nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return trace.Errorf("delete prompt cache: engine returned status %s", resp.Status)
	}
	return nil
}

func (c *Client) completionRequest(ctx context.Context, prompt home.Prompt) (*http.Request, error) {
	body := chatRequest{
		Model: prompt.Model(), MaxTokens: prompt.MaxTokens(), Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		Priority: enginePriority(prompt.Rank()), User: prompt.Program().String(),
	}
	for _, message := range prompt.Messages() {
		body.Messages = append(body.Messages, chatMessage{Role: message.Role().String(), Content: message.Content()})
	}
	if prompt.ResumeFrom() != "" {
		body.Messages = append(body.Messages, chatMessage{Role: program.RoleAssistant.String(), Content: prompt.ResumeFrom()})
		body.ContinueFinal = true
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// readCompletion passes the text of a stream to emit and returns the usage and the reason
// for the end, which the last chunks report.
func readCompletion(body io.Reader, emit func(text []byte)) (home.Completion, error) {
	events := newEventReader(body)
	var usage *chatUsage
	finishReason := program.FinishStop
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) && usage != nil {
			return home.NewCompletion(toUsage(usage), finishReason), nil
		}
		if errors.Is(err, io.EOF) {
			return home.Completion{}, trace.Errorf("completion stream ended without token usage")
		}
		if err != nil {
			return home.Completion{}, err
		}
		if text, ok := plainContent(data); ok {
			emit(text)
			continue
		}
		chunk, err := parseChunk(data)
		if err != nil {
			return home.Completion{}, err
		}
		if chunk.Error != nil {
			return home.Completion{}, trace.Errorf("engine sent an error event: %s", chunk.Error.Message)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		finishReason = emitChoices(chunk, emit, finishReason)
	}
}

// emitChoices passes the text of a parsed chunk to emit. It returns program.FinishLength if
// the chunk says that the token limit was reached, else finishReason.
func emitChoices(chunk chatChunk, emit func(text []byte), finishReason program.FinishReason) program.FinishReason {
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			emit([]byte(choice.Delta.Content))
		}
		if choice.FinishReason == "length" {
			finishReason = program.FinishLength
		}
	}
	return finishReason
}

func toUsage(usage *chatUsage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		PromptTokens: usage.PromptTokens, CachedTokens: usage.PromptDetails.CachedTokens, OutputTokens: usage.CompletionTokens,
	})
}

// enginePriority returns the priority field for a rank: engines run requests with lower
// numbers first.
func enginePriority(r class.Rank) int { return int(r) }

// requestError converts the error of a request without a response. If the connection could
// not be opened, the engine did no work.
func requestError(ctx context.Context, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return engineError(program.KindUnavailable, program.NotRun, err)
	}
	return streamError(ctx, err)
}

// streamError converts the error of a request that the engine may have worked on.
func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return engineError(program.KindCanceled, program.InDoubt, ctx.Err())
	}
	return engineError(program.KindUnavailable, program.InDoubt, err)
}

// statusError converts a response with an error status. With a status below 500 the engine
// refused the request and did no work; with any other the outcome is in doubt.
func statusError(resp *http.Response) error {
	responseText, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("engine returned status %s: %s", resp.Status, bytes.TrimSpace(responseText))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return engineError(program.KindOverloaded, program.NotRun, err)
	case resp.StatusCode < http.StatusInternalServerError:
		return engineError(program.KindInvalid, program.NotRun, err)
	}
	return engineError(program.KindUnavailable, program.InDoubt, err)
}

func engineError(kind program.Kind, outcome program.Outcome, err error) error {
	return program.NewError(program.ErrorConfig{Op: "call engine", Kind: kind, Outcome: outcome, Err: err})
}
