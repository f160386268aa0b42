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

// EngineUnderTest is a client of an engine together with controls of the
// simulated engine behind it.
type EngineUnderTest struct {
	// Engine is the client to test.
	Engine home.Engine
	// CachedTokens returns the number of tokens that the engine has cached for
	// a program.
	CachedTokens func(id program.ID) int64
	// SetRefusing switches on or off that the engine refuses every request.
	SetRefusing func(refuse bool)
	// SetTruncating switches on or off that the engine closes the connection in
	// the middle of an answer.
	SetTruncating func(truncate bool)
	// SetHanging switches on or off that the engine stops sending in the middle
	// of an answer but keeps the connection open.
	SetHanging func(hang bool)
}

// TestEngine runs the suite. newEngine returns an idle engine that generates
// answers of at least eight tokens; it is called once for each test.
func TestEngine(t *testing.T, newEngine func(t *testing.T) EngineUnderTest) {
	tests := []struct {
		name string
		run  func(t *testing.T, s EngineUnderTest)
	}{
		{name: "text is streamed and counted", run: testStream},
		{name: "a prefix is cached and released", run: testCache},
		{name: "the answer ends at its limit", run: testLimit},
		{name: "a resumed answer goes on", run: testResume},
		{name: "a refusal did no work", run: testRefusal},
		{name: "a cut stream is in doubt", run: testTruncation},
		{name: "a canceled stream ends", run: testCancel},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, newEngine(t)) })
	}
}

// testID is the program that all prompts belong to.
var testID = program.NewID("caller", "key")

// prompt returns a prompt whose messages come from the user and the assistant
// in turn.
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

func testStream(t *testing.T, s EngineUnderTest) {
	var pieces []string
	c, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(text []byte) { pieces = append(pieces, string(text)) })
	require.NoError(t, err)
	require.Len(t, pieces, 8)
	require.EqualValues(t, 8, c.Usage().OutputTokens())
	require.Positive(t, c.Usage().PromptTokens())
	require.Zero(t, c.Usage().CachedTokens())
}

func testCache(t *testing.T, s EngineUnderTest) {
	var text strings.Builder
	first, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(piece []byte) { text.Write(piece) })
	require.NoError(t, err)
	require.Positive(t, s.CachedTokens(testID))
	second, err := s.Engine.Complete(context.Background(), prompt(8, "hello", text.String(), "more"), func([]byte) {})
	require.NoError(t, err)
	require.GreaterOrEqual(t, second.Usage().CachedTokens(), first.Usage().PromptTokens())
	require.NoError(t, s.Engine.Release(context.Background(), testID))
	require.Zero(t, s.CachedTokens(testID))
	require.NoError(t, s.Engine.Release(context.Background(), testID), "a repeated release is not an error")
}

func testLimit(t *testing.T, s EngineUnderTest) {
	c, err := s.Engine.Complete(context.Background(), prompt(2, "hello"), func([]byte) {})
	require.NoError(t, err)
	require.EqualValues(t, 2, c.Usage().OutputTokens())
	require.Equal(t, program.FinishLength, c.StopReason())
}

func testResume(t *testing.T, s EngineUnderTest) {
	var whole, part strings.Builder
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func(piece []byte) { whole.Write(piece) })
	require.NoError(t, err)
	_, err = s.Engine.Complete(context.Background(), prompt(3, "hello"), func(piece []byte) { part.Write(piece) })
	require.NoError(t, err)
	resumed := home.NewPrompt(home.PromptConfig{
		Program: testID, MaxTokens: 5, Messages: prompt(5, "hello").Messages(), ResumeFrom: part.String(),
	})
	c, err := s.Engine.Complete(context.Background(), resumed, func(piece []byte) { part.Write(piece) })
	require.NoError(t, err)
	require.EqualValues(t, 5, c.Usage().OutputTokens())
	require.Equal(t, whole.String(), part.String())
}

func testRefusal(t *testing.T, s EngineUnderTest) {
	s.SetRefusing(true)
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.NotRun, program.AsError(err).Outcome())
}

func testTruncation(t *testing.T, s EngineUnderTest) {
	s.SetTruncating(true)
	_, err := s.Engine.Complete(context.Background(), prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
	require.Equal(t, program.KindUnavailable, program.KindOf(err))
}

func testCancel(t *testing.T, s EngineUnderTest) {
	s.SetHanging(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Engine.Complete(ctx, prompt(8, "hello"), func([]byte) {})
	require.Error(t, err)
	require.Equal(t, program.KindCanceled, program.KindOf(err))
}
