package hometest

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// Subject is an engine under test with what only its stand-in can do.
type Subject struct {
	// Engine is what is tested.
	Engine home.Engine
	// Cached returns the tokens held for a program.
	Cached func(id program.ID) int64
	// SetRefusing makes the engine refuse every request, or not.
	SetRefusing func(refusing bool)
	// SetCut makes the engine end streams half-way, or not.
	SetCut func(cut bool)
	// SetHang makes the engine fall silent half-way, or not.
	SetHang func(hang bool)
}

// TestEngine runs an engine through the contract; fresh returns an idle one
// that generates at least eight tokens.
func TestEngine(t *testing.T, fresh func(t *testing.T) Subject) {
	tests := []struct {
		name string
		run  func(t *testing.T, s Subject)
	}{
		{name: "text is streamed and counted", run: testStream},
		{name: "a prefix is cached and released", run: testCache},
		{name: "the answer ends at its limit", run: testLimit},
		{name: "a resumed answer goes on", run: testResume},
		{name: "a refusal did no work", run: testRefusal},
		{name: "a cut stream is in doubt", run: testCut},
		{name: "a canceled stream ends", run: testCancel},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, fresh(t)) })
	}
}

var testID = program.NewID("caller", "key")

func prompt(maxTokens int64, texts ...string) home.Prompt {
	c := home.PromptConfig{Program: testID, MaxTokens: maxTokens}
	for i, text := range texts {
		role := program.RoleUser
		if i%2 == 1 {
			role = program.RoleAssistant
		}
		c.Messages = append(c.Messages, program.NewMessage(role, text))
	}
	return home.NewPrompt(c)
}

func testStream(t *testing.T, s Subject) {
	var pieces []string
	c, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(text []byte) { pieces = append(pieces, string(text)) })
	require.NoError(t, err)
	require.Len(t, pieces, 8)
	require.EqualValues(t, 8, c.Usage().OutputTokens())
	require.Positive(t, c.Usage().PromptTokens())
	require.Zero(t, c.Usage().CachedTokens())
}

func testCache(t *testing.T, s Subject) {
	var text strings.Builder
	first, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(piece []byte) { text.Write(piece) })
	require.NoError(t, err)
	require.Positive(t, s.Cached(testID))
	second, err := s.Engine.Complete(context.Background(), prompt(8, "hello", text.String(), "more"), func([]byte) {})
	require.NoError(t, err)
	require.GreaterOrEqual(t, second.Usage().CachedTokens(), first.Usage().PromptTokens())
	require.NoError(t, s.Engine.Release(context.Background(), testID))
	require.Zero(t, s.Cached(testID))
	require.NoError(t, s.Engine.Release(context.Background(), testID), "a repeat changes nothing")
}

func testLimit(t *testing.T, s Subject) {
	c, err := s.Engine.Complete(context.Background(), prompt(2, "hello"), func([]byte) {})
	require.NoError(t, err)
	require.EqualValues(t, 2, c.Usage().OutputTokens())
	require.Equal(t, program.FinishLength, c.Stop())
}

func testResume(t *testing.T, s Subject) {
	var whole, part strings.Builder
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(piece []byte) { whole.Write(piece) })
	require.NoError(t, err)
	_, err = s.Engine.Complete(context.Background(), prompt(3, "hello"), func(piece []byte) { part.Write(piece) })
	require.NoError(t, err)
	rest := home.NewPrompt(home.PromptConfig{
		Program: testID, MaxTokens: 5, Messages: prompt(5, "hello").Messages(), Resume: part.String(),
	})
	c, err := s.Engine.Complete(context.Background(), rest, func(piece []byte) { part.Write(piece) })
	require.NoError(t, err)
	require.EqualValues(t, 5, c.Usage().OutputTokens())
	require.Equal(t, whole.String(), part.String())
}

func testRefusal(t *testing.T, s Subject) {
	s.SetRefusing(true)
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.NotRun, program.AsError(err).Outcome())
}

func testCut(t *testing.T, s Subject) {
	s.SetCut(true)
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
	require.Equal(t, program.KindUnavailable, program.KindOf(err))
}

func testCancel(t *testing.T, s Subject) {
	s.SetHang(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Engine.Complete(ctx, prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.KindCanceled, program.KindOf(err))
}
