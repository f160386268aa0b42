package home

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

// transcript collects the text of a running call and delivers it to any number
// of followers.
type transcript struct {
	mu sync.Mutex
	// text is the whole text so far, including what the caller had received
	// before the call.
	text []byte
	// tokenCount estimates the tokens of text: one for each piece that the
	// engine sent, plus the estimate for the received text.
	tokenCount int64
	// firstTextAt is when the first piece arrived, zero before.
	firstTextAt time.Time
	// done is set by finish; result and err do not change after that.
	done   bool
	result CallResult
	err    error
	// followers holds a channel of capacity 1 for each follower, which receives
	// a value when there is something new.
	followers []chan struct{}
}

// newTranscript returns a transcript that begins with the text that the caller
// received earlier; receivedTokens estimates the tokens of it.
func newTranscript(received string, receivedTokens int64) *transcript {
	return &transcript{text: []byte(received), tokenCount: receivedTokens}
}

// write appends a piece of text and wakes the followers.
func (t *transcript) write(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstTextAt.IsZero() {
		t.firstTextAt = time.Now()
	}
	t.text = append(t.text, text...)
	t.tokenCount++
	t.wakeLocked()
}

// finish sets the result of the call and wakes the followers.
func (t *transcript) finish(result CallResult, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.result = result
	t.err = err
	t.wakeLocked()
}

// wakeLocked signals every follower without blocking.
func (t *transcript) wakeLocked() {
	for _, f := range t.followers {
		select {
		case f <- struct{}{}:
		default:
		}
	}
}

// String returns the text so far.
func (t *transcript) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// firstTokenAt returns when the first piece arrived, zero before.
func (t *transcript) firstTokenAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstTextAt
}

// textBytes returns the length of the text in bytes.
func (t *transcript) textBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.text))
}

// generatedTokens estimates the tokens of the text: engines usually send one
// token a piece.
func (t *transcript) generatedTokens() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokenCount
}

// follow sends the text to sink from its beginning, waits for the end of the
// call and returns its result. When ctx ends or sink fails, it returns an error
// of program.KindCanceled.
func (t *transcript) follow(ctx context.Context, sink Sink) (CallResult, error) {
	wake := make(chan struct{}, 1)
	t.addFollower(wake)
	defer t.removeFollower(wake)
	sentBytes := 0
	var text []byte
	for {
		var done bool
		text, done = t.textAfter(text[:0], sentBytes)
		if len(text) > 0 {
			if err := sink(text); err != nil {
				return CallResult{}, program.NewError(program.ErrorConfig{Op: "follow call", Kind: program.KindCanceled, Err: err})
			}
			sentBytes += len(text)
		}
		if done {
			return t.result, t.err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return CallResult{}, program.NewError(program.ErrorConfig{Op: "follow call", Kind: program.KindCanceled, Err: ctx.Err()})
		}
	}
}

// textAfter appends the text beyond the first sentBytes bytes to buffer and
// reports whether the call has ended.
func (t *transcript) textAfter(buffer []byte, sentBytes int) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(buffer, t.text[sentBytes:]...), t.done
}

func (t *transcript) addFollower(wake chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers = append(t.followers, wake)
}

func (t *transcript) removeFollower(wake chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.followers {
		if f == wake {
			t.followers = append(t.followers[:i], t.followers[i+1:]...)
			return
		}
	}
}
