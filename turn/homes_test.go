package turn_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// site is a log and the homes that write to it.
type site struct {
	log    *turntest.Log
	keeper *turntest.Keeper
	writer uint64
}

func newSite() *site { return &site{log: turntest.NewLog(), keeper: turntest.NewKeeper()} }

// inSite runs a test in virtual time and lets the work under way end after it.
func inSite(t *testing.T, f func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		f(t, s)
		s.log.Set(turntest.None)
		time.Sleep(time.Minute)
	})
}

// homes returns a new process; it searches other shards in the log.
func (s *site) homes() *turn.Homes {
	s.writer++
	var h *turn.Homes
	h = turn.New(turn.Config{
		Writer: s.writer, Shards: 4, Log: s.log, Keeper: s.keeper, Logger: zap.NewNop(),
		Linger: turn.DefaultLinger, Timeout: turn.DefaultTimeout, KeepAfter: turn.DefaultKeepAfter,
		OutageAfter: turn.DefaultOutageAfter, Incumbency: turn.DefaultIncumbency, Home: func(int) bool { return true },
		Find: func(ctx context.Context, id string, besides int) ([]byte, bool, error) {
			for n := range 4 {
				if n == besides {
					continue
				}
				if text, ok, err := h.Find(ctx, id, []int{n}); ok || err != nil {
					return text, ok, err
				}
			}
			return nil, false, nil
		},
	})
	return h
}

func request(program, attempt string, budget int64) turn.BeginRequest {
	return turn.BeginRequest{Program: program, Attempt: attempt, Budget: budget, Tokens: 100}
}

// begin admits an attempt and waits for its record.
func begin(t *testing.T, h *turn.Homes, r turn.BeginRequest) error {
	t.Helper()
	ticket, err := h.Begin(t.Context(), r)
	if err != nil {
		return err
	}
	return ticket.Wait(t.Context())
}

func TestBudgetHoldsWholeTurns(t *testing.T) {
	tests := []struct {
		name   string
		spent  []int64
		budget int64
		fits   bool
	}{
		{name: "first turn", budget: 100, fits: true},
		{name: "budget under one turn", budget: 99},
		{name: "room for one more", spent: []int64{30, 70}, budget: 200, fits: true},
		{name: "one token short", spent: []int64{31, 70}, budget: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inSite(t, func(t *testing.T, s *site) {
				h := s.homes()
				for i, n := range test.spent {
					attempt := "a" + strconv.Itoa(i)
					require.NoError(t, begin(t, h, request("p", attempt, 1000)))
					require.NoError(t, h.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, Tokens: n}))
				}
				time.Sleep(time.Second)
				err := begin(t, h, request("p", "last", test.budget))
				if test.fits {
					require.NoError(t, err)
					return
				}
				require.Equal(t, turn.KindBudget, turn.KindOf(err))
			})
		})
	}
}

func TestAttemptAskedTwiceCountsOnce(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		require.NoError(t, begin(t, s.homes(), request("p", "a", 100)))
		other := s.homes()
		require.NoError(t, begin(t, other, request("p", "a", 100)), "another front is asked for the same attempt")
		require.NoError(t, begin(t, other, request("p", "a", 100)))
	})
}

func TestTwoHomesShareOneBudget(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		homes := []*turn.Homes{s.homes(), s.homes(), s.homes()}
		for _, h := range homes {
			require.NoError(t, h.Load(t.Context(), turn.ShardOf("p", 4)))
		}
		results := make(chan error, 9)
		for i := range 9 {
			go func() { results <- begin(t, homes[i%3], request("p", strconv.Itoa(i), 450)) }()
		}
		fit := 0
		for range 9 {
			err := <-results
			if err == nil {
				fit++
				continue
			}
			require.Equal(t, turn.KindBudget, turn.KindOf(err))
		}
		require.Equal(t, 4, fit)
	})
}

func TestUnansweredAppendsTakeEffectOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault turntest.Fault
	}{
		{name: "answer lost", fault: turntest.Lost},
		{name: "executed late", fault: turntest.Late},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inSite(t, func(t *testing.T, s *site) {
				h := s.homes()
				require.NoError(t, h.Load(t.Context(), turn.ShardOf("p", 4)))
				s.log.Set(test.fault)
				time.AfterFunc(500*time.Millisecond, func() { s.log.Set(turntest.None) })
				require.NoError(t, begin(t, h, request("p", "a", 1000)))
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, s.log.Writes())
				require.NoError(t, begin(t, s.homes(), request("p", "b", 200)))
			})
		})
	}
}

func keep(previous, text string) *turn.Keep {
	return &turn.Keep{Previous: previous, Text: []byte(text), RetentionMS: 60_000}
}

func TestConversationIsFoundAnywhere(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		first := s.homes()
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Keep: keep("", "one ")}))
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "b", Keep: keep("a", "two ")}))
		for _, program := range []string{"p", "q", "r", "s"} {
			after := s.homes()
			ticket, err := after.Begin(t.Context(), turn.BeginRequest{Program: program, Attempt: "c" + program, Previous: "b"})
			require.NoError(t, err, program)
			require.Equal(t, "one two ", string(ticket.Text()))
			require.NoError(t, after.End(t.Context(), turn.EndRequest{Program: program, Attempt: "c" + program, Keep: keep("b", "three")}))
			ticket, err = s.homes().Begin(t.Context(), turn.BeginRequest{Program: program, Attempt: "d" + program, Previous: "c" + program})
			require.NoError(t, err, program)
			require.Equal(t, "one two three", string(ticket.Text()))
		}
	})
}

func TestUnknownTurnIsNotFoundOnlyWithCertainty(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		r := turn.BeginRequest{Program: "p", Attempt: "a", Previous: "none"}
		_, err := h.Begin(t.Context(), r)
		require.Equal(t, turn.KindNotFound, turn.KindOf(err))
		s.log.Set(turntest.Down)
		_, err = h.Begin(t.Context(), r)
		require.Equal(t, turn.KindUnavailable, turn.KindOf(err))
	})
}

func TestTurnEndsWholeOnlyInTheLog(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		require.NoError(t, h.Load(t.Context(), turn.ShardOf("p", 4)))
		s.log.Set(turntest.Down)
		ended := make(chan error, 1)
		go func() {
			ended <- h.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Keep: keep("", "one")})
		}()
		time.Sleep(5 * time.Second)
		require.Empty(t, ended, "the answer would be lost with all instances")
		s.log.Set(turntest.None)
		require.NoError(t, <-ended)
		_, err := s.homes().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "b", Previous: "a"})
		require.NoError(t, err)
	})
}

func TestOneBeginningRestsOnCopies(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		require.NoError(t, h.Load(t.Context(), turn.ShardOf("p", 4)))
		s.log.Set(turntest.Down)
		require.NoError(t, begin(t, h, request("p", "a", 1000)))
		ticket, err := h.Begin(t.Context(), request("p", "b", 1000))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.Error(t, ticket.Wait(ctx), "two forgotten turns would overrun the budget")
		s.log.Set(turntest.None)
		require.NoError(t, ticket.Wait(t.Context()))
	})
}

func TestCopiesOfLostHomeCount(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		require.NoError(t, h.Load(t.Context(), turn.ShardOf("p", 4)))
		s.log.Set(turntest.Down)
		require.NoError(t, begin(t, h, request("p", "a", 150)))
		copies := s.keeper.Kept(t.Context(), turn.ShardOf("p", 4))
		s.keeper.Lose()
		s.log.Set(turntest.None)
		next := s.homes()
		require.NoError(t, next.Adopt(t.Context(), turn.ShardOf("p", 4), copies))
		require.Equal(t, turn.KindBudget, turn.KindOf(begin(t, next, request("p", "b", 150))))
	})
}

// TestRecordsOfAnotherWriterConfirmNothing is the case of two processes that start
// at the same nanosecond and number their records alike.
func TestRecordsOfAnotherWriterConfirmNothing(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		first, second := s.homes(), s.homes()
		require.NoError(t, second.Load(t.Context(), turn.ShardOf("p", 4)))
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Keep: keep("", "one")}))
		require.NoError(t, second.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "b", Keep: keep("", "two")}))
		for _, id := range []string{"a", "b"} {
			_, err := s.homes().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "x" + id, Previous: id})
			require.NoError(t, err, id)
		}
	})
}

func TestEndBeforeItsBeginningReleases(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		require.NoError(t, s.homes().End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a"}))
		time.Sleep(time.Second)
		require.NoError(t, begin(t, s.homes(), request("p", "a", 100)))
		require.NoError(t, begin(t, s.homes(), request("p", "b", 100)), "a settled attempt sets nothing aside")
	})
}

func TestOldConversationOutlivesTrimming(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.Run(ctx)
		require.NoError(t, h.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "0", Keep: keep("", "0")}))
		want := "0"
		for i := 1; i < 40; i++ {
			time.Sleep(20 * time.Second)
			id := strconv.Itoa(i)
			require.NoError(t, h.End(t.Context(), turn.EndRequest{Program: "p", Attempt: id, Keep: keep(strconv.Itoa(i-1), id)}))
			want += id
		}
		page, err := s.log.Read(t.Context(), turn.ShardOf("p", 4), 30)
		require.NoError(t, err)
		require.Positive(t, page.First, "old records are dropped")
		ticket, err := s.homes().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "x", Previous: "39"})
		require.NoError(t, err)
		require.Equal(t, want, string(ticket.Text()))
	})
}
