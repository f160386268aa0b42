package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// answerTo returns a whole answer to a request.
func answerTo(id string, status int, header ...string) answer {
	a := answer{id: id, status: status, header: http.Header{}, ended: time.Now()}
	for i := 0; i < len(header); i += 2 {
		a.header.Set(header[i], header[i+1])
	}
	return a
}

// pieces returns the events from first to last of a stream.
func pieces(first, last int, run, version string) (out []piece) {
	for n := first; n <= last; n++ {
		out = append(out, piece{id: n, number: n, text: "t", run: run, version: version})
	}
	return out
}

// TestEachCheckFails shows each check a false observation and one that is right.
func TestEachCheckFails(t *testing.T) {
	const stamp = "Response-Stamp"
	tests := []struct {
		name string
		rule string
		// see returns what was observed, false or right.
		see func(o *observer, isFalse bool)
	}{
		{"success without a stamp", "MIXED", func(o *observer, isFalse bool) {
			a := answerTo("a", 200, stamp, "s")
			if isFalse {
				a.header.Del(stamp)
			}
			o.answered("payment", a, true)
		}},
		{"answer with another ID", "MIXED", func(o *observer, isFalse bool) {
			id := "a"
			if isFalse {
				id = "b"
			}
			o.answered("payment", answerTo("a", 200, stamp, "s", "Request-Id", id), true)
		}},
		{"request runs twice", "TWICE", func(o *observer, isFalse bool) {
			o.sent("a", attempt{once: isFalse, maxRuns: 2})
			o.ran(run{id: "a"})
			o.ran(run{id: "a"})
		}},
		{"refused request has run", "REFUSED", func(o *observer, isFalse bool) {
			status := 502
			if isFalse {
				status = 503
			}
			o.sent("a", attempt{once: true, maxRuns: 1})
			o.answered("payment", answerTo("a", status), true)
			o.ran(run{id: "a"})
		}},
		{"turn without budget has run", "REFUSED", func(o *observer, isFalse bool) {
			o.sent("a", attempt{maxRuns: 1})
			o.answered("turn", answerTo("a", 402), true)
			if isFalse {
				o.ran(run{id: "a"})
			}
		}},
		{"nobody sent the request", "UNASKED", func(o *observer, isFalse bool) {
			if !isFalse {
				o.sent("a", attempt{maxRuns: 1})
			}
			o.ran(run{id: "a"})
		}},
		{"another body", "UNASKED", func(o *observer, isFalse bool) {
			o.sent("a", attempt{maxRuns: 1, body: "x"})
			o.ran(run{id: "a", body: map[bool]string{true: "y", false: "x"}[isFalse]})
		}},
		{"many requests run too often", "BUDGET", func(o *observer, isFalse bool) {
			for n := range 4 {
				id := fmt.Sprint(n)
				o.sent(id, attempt{maxRuns: 1})
				o.ran(run{id: id})
				o.ran(run{id: id, excused: func() bool { return !isFalse }})
			}
		}},
		{"tokens beyond the budget and a turn", "BUDGET", func(o *observer, isFalse bool) {
			o.handed("p", 100, 100, 10)
			o.handed("p", map[bool]int{true: 11, false: 10}[isFalse], 100, 10)
		}},
		{"kept turn is not found", "LOST", func(o *observer, isFalse bool) {
			if isFalse {
				o.kept("a", "text")
			}
			o.continued("a", answerTo("b", 404))
		}},
		{"older configuration", "CONFIG", func(o *observer, isFalse bool) {
			o.configured("front-0.1", 3, 0, true)
			newest := o.newestOf("front-0.1")
			if !isFalse {
				newest = o.newestOf("front-0.2")
			}
			o.configured("front-0.1", 2, newest, false)
		}},
		{"many proper requests are refused", "DENIED", func(o *observer, isFalse bool) {
			for range allowedDenied + 1 {
				o.answered("payment", answerTo("a", 404), isFalse)
			}
		}},
		{"streams of two versions", "ORDER", func(o *observer, isFalse bool) {
			for n := range allowedJoined + 1 {
				version := "v1"
				if isFalse || n > 0 {
					version = "v2"
				}
				o.streamed([]string{"a"}, append(pieces(1, 2, "r1", "v1"), pieces(3, 4, "r2", version)...), "t", 4, true, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, isFalse := range []bool{true, false} {
				o := newObserver()
				test.see(o, isFalse)
				o.finish()
				var rules []string
				for _, v := range o.violations {
					rules = append(rules, v.rule)
				}
				if isFalse {
					require.Equal(t, []string{test.rule}, rules)
				} else {
					require.Empty(t, rules)
				}
			}
		})
	}
}

func TestTurnMayBeForgottenAfterItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver()
		o.kept("a", "text")
		time.Sleep(retention - allowance)
		o.continued("a", answerTo("b", 404))
		require.Empty(t, o.violations)
	})
}

func TestCheckPieces(t *testing.T) {
	twice := append(pieces(1, 2, "r", "v1"), pieces(2, 3, "r", "v1")...)
	missing := append(pieces(1, 1, "r", "v1"), pieces(3, 4, "r", "v1")...)
	renumbered := append(pieces(1, 1, "r", "v1"), piece{id: 2, number: 3, text: "t", run: "r", version: "v1"})
	joined := append(pieces(1, 2, "r1", "v1"), pieces(3, 4, "r2", "v1")...)
	foreign := append(pieces(1, 3, "r", "v1"), piece{id: 4, number: 4, text: "u", run: "r", version: "v1"})
	tests := []struct {
		name                string
		pieces              []piece
		complete, resumable bool
		want                string
	}{
		{"whole", pieces(1, 4, "r", "v1"), true, false, ""},
		{"broken off", pieces(1, 2, "r", "v1"), false, false, ""},
		{"nothing", nil, false, false, ""},
		{"resumed", joined, true, true, ""},
		{"two runs joined", joined, true, false, "event 3 is of the run r2, the first of r1, and the stream is not resumable"},
		{"piece twice", twice, true, true, "event 2 with piece 2 follows event 2"},
		{"piece missing", missing, true, true, "event 3 with piece 3 follows event 1"},
		{"event numbered anew", renumbered, true, true, "event 2 with piece 3 follows event 1"},
		{"piece of another text", foreign, true, true, "event 4 belongs to the text u, expected t"},
		{"complete before its end", pieces(1, 3, "r", "v1"), true, false, "ended as complete after event 3 of 4"},
		{"beyond its end", pieces(1, 5, "r", "v1"), true, false, "has 5 events, expected 4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, checkPieces(test.pieces, "t", 4, test.complete, test.resumable))
		})
	}
}

func TestSplitEvents(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(n, "t", "r", "v1")) }
	tests := []struct {
		name, body string
		count      int
		rest       string
		isError    bool
	}{
		{"whole", event(1) + event(2), 2, "", false},
		{"ends inside an event", event(1) + event(2)[:20], 1, event(2)[:20], false},
		{"other data", event(1) + strings.Replace(event(2), "yyy\n", "yyz\n", 1), 1, strings.Replace(event(2), "yyy\n", "yyz\n", 1), true},
		{"no event", "HTTP/1.1 200 OK\n\n", 0, "HTTP/1.1 200 OK\n\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, rest, err := splitEvents(test.body, 0)
			require.Len(t, got, test.count)
			require.Equal(t, test.rest, rest)
			require.Equal(t, test.isError, err != nil)
		})
	}
}

func TestPlainAnswer(t *testing.T) {
	whole := plainAnswer("i-app0.1", "a", plainBytes)
	require.True(t, isPlainAnswer(whole, "a"))
	require.False(t, isPlainAnswer(whole, "b"))
	require.False(t, isPlainAnswer(whole[:len(whole)-1], "a"))
	require.False(t, isPlainAnswer(whole+"x", "a"))
}

func TestBrokenOffAnswerPromisesNothing(t *testing.T) {
	o := newObserver()
	o.sent("a", attempt{once: true, maxRuns: 1})
	a := answerTo("a", 503)
	a.err = errors.New("broken off")
	o.answered("payment", a, true)
	o.ran(run{id: "a"})
	o.finish()
	require.Empty(t, o.violations)
}
