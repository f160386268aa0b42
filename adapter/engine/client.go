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

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

const (
	dialTimeout = 2 * time.Second
	// maxErrorBytes bounds what is read of a refusal.
	maxErrorBytes = 4 << 10
	// maxIdleConns bounds the idle connections to the engine.
	maxIdleConns = 256
)

// Client is a home.Engine.
type Client struct {
	base string
	http *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the engine.
	Address string
}

// New returns a client of the engine at an address.
func New(c Config) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + c.Address, http: &http.Client{Transport: transport}}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Complete generates an answer; see home.Engine.
func (c *Client) Complete(ctx context.Context, p home.Prompt, emit func(text []byte)) (home.Completion, error) {
	req, err := c.completionRequest(ctx, p)
	if err != nil {
		return home.Completion{}, engineError(program.KindInvalid, program.NotRun, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return home.Completion{}, requestError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return home.Completion{}, statusError(resp)
	}
	completion, err := read(resp.Body, emit)
	if err != nil {
		return home.Completion{}, streamError(ctx, err)
	}
	return completion, nil
}

// Release frees the memory that the engine holds for a program.
func (c *Client) Release(ctx context.Context, id program.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/cache/"+id.String(), nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return trace.Errorf("engine answered %s", resp.Status)
	}
	return nil
}

func (c *Client) completionRequest(ctx context.Context, p home.Prompt) (*http.Request, error) {
	body := chatRequest{
		Model: p.Model(), MaxTokens: p.MaxTokens(), Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		Priority: priority(p.Rank()), User: p.Program().String(),
	}
	for _, m := range p.Messages() {
		body.Messages = append(body.Messages, chatMessage{Role: m.Role().String(), Content: m.Content()})
	}
	if p.ResumeFrom() != "" {
		body.Messages = append(body.Messages, chatMessage{Role: program.Assistant.String(), Content: p.ResumeFrom()})
		body.ContinueFinal = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// read emits the text of a stream and returns what its end reports.
func read(body io.Reader, emit func(text []byte)) (home.Completion, error) {
	events := newEventReader(body)
	var usage *chatUsage
	stop := program.StopEnd
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) && usage != nil {
			return home.NewCompletion(usageOf(usage), stop), nil
		}
		if errors.Is(err, io.EOF) {
			return home.Completion{}, trace.Errorf("stream ended without usage")
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
			return home.Completion{}, trace.Errorf("engine reports: %s", chunk.Error.Message)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		stop = emitChoices(chunk, emit, stop)
	}
}

func emitChoices(chunk chatChunk, emit func(text []byte), stop program.Stop) program.Stop {
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			emit([]byte(choice.Delta.Content))
		}
		if choice.FinishReason == "length" {
			stop = program.StopLength
		}
	}
	return stop
}

func usageOf(u *chatUsage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		Prompt: u.PromptTokens, Cached: u.PromptDetails.CachedTokens, Output: u.CompletionTokens,
	})
}

// priority returns the number engines sort by, least first.
func priority(r class.Rank) int { return int(r) }

// requestError tells whether a request that got no answer reached the engine.
func requestError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engineError(program.KindUnavailable, program.NotRun, err)
	}
	return streamError(ctx, err)
}

func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return engineError(program.KindCanceled, program.InDoubt, ctx.Err())
	}
	return engineError(program.KindUnavailable, program.InDoubt, err)
}

// statusError turns a refusal of the engine into an error: it did no work.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("engine answered %s: %s", resp.Status, bytes.TrimSpace(text))
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
