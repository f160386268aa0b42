package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/quarantine"
)

// noon is the start of the tests.
var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// identity returns the identity of a request with an input in a conversation.
func identity(input, conversation string) quarantine.Identity {
	return quarantine.NewIdentity([][]byte{[]byte("POST"), []byte(input)}, conversation)
}

// TestOnlyRequestsThatNeverEndAreBanned guards against bans of all equal inputs after endpoints crashed
// for reasons of their own (review case 3).
func TestOnlyRequestsThatNeverEndAreBanned(t *testing.T) {
	type event struct {
		input, conversation string
		// incarnation is that of the endpoint that crashed; 0 means that the request ran to its end.
		incarnation uint64
		after       time.Duration
		// length is how long the request had run, 0 for a moment.
		length time.Duration
	}
	tests := []struct {
		name   string
		events []event
		// banned are the requests, input and conversation, that are banned; sound those that are not.
		banned, sound [][2]string
	}{
		{
			name:   "two endpoints",
			events: []event{{input: "boom", conversation: "a", incarnation: 1}, {input: "boom", conversation: "a", incarnation: 2}},
			sound:  [][2]string{{"boom", "a"}},
		},
		{
			name:   "three endpoints, from any conversation",
			events: []event{{input: "boom", conversation: "a", incarnation: 1}, {input: "boom", conversation: "b", incarnation: 2}, {input: "boom", conversation: "c", incarnation: 3}},
			banned: [][2]string{{"boom", "a"}, {"boom", "d"}}, sound: [][2]string{{"other", "a"}},
		},
		{
			name:   "three attempts at one endpoint",
			events: []event{{input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "b", incarnation: 1}, {input: "yes", conversation: "c", incarnation: 1}},
			sound:  [][2]string{{"yes", "a"}},
		},
		{
			name: "three endpoints at the same time",
			events: []event{
				{input: "yes", conversation: "a", incarnation: 1, length: time.Second},
				{input: "yes", conversation: "b", incarnation: 2, length: time.Second},
				{input: "yes", conversation: "c", incarnation: 3, length: time.Second},
			},
			sound: [][2]string{{"yes", "a"}, {"yes", "d"}},
		},
		{
			name:   "an equal input ended before",
			events: []event{{input: "yes", conversation: "z"}, {input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "b", incarnation: 2}, {input: "yes", conversation: "c", incarnation: 3}, {input: "yes", conversation: "d", incarnation: 4}},
			sound:  [][2]string{{"yes", "a"}, {"yes", "e"}},
		},
		{
			name:   "an equal input ends between",
			events: []event{{input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "b", incarnation: 2}, {input: "yes", conversation: "z"}, {input: "yes", conversation: "c", incarnation: 3}, {input: "yes", conversation: "d", incarnation: 4}},
			sound:  [][2]string{{"yes", "a"}, {"yes", "e"}},
		},
		{
			name:   "an equal input that ran meanwhile ends after the ban",
			events: []event{{input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "b", incarnation: 2}, {input: "yes", conversation: "c", incarnation: 3}, {input: "yes", conversation: "z"}},
			sound:  [][2]string{{"yes", "a"}, {"yes", "e"}},
		},
		{
			name:   "one conversation crashes endpoints, equal inputs of others end",
			events: []event{{input: "yes", conversation: "z"}, {input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "z"}, {input: "yes", conversation: "a", incarnation: 2}, {input: "yes", conversation: "y"}, {input: "yes", conversation: "a", incarnation: 3}, {input: "yes", conversation: "x"}},
			banned: [][2]string{{"yes", "a"}}, sound: [][2]string{{"yes", "z"}, {"yes", "b"}},
		},
		{
			name:   "its retry ends",
			events: []event{{input: "yes", conversation: "z"}, {input: "yes", conversation: "a", incarnation: 1}, {input: "yes", conversation: "a", incarnation: 2}, {input: "yes", conversation: "a"}, {input: "yes", conversation: "a", incarnation: 3}},
			sound:  [][2]string{{"yes", "a"}},
		},
		{
			name:   "crashes long ago",
			events: []event{{input: "boom", conversation: "a", incarnation: 1}, {input: "boom", conversation: "a", incarnation: 2}, {input: "boom", conversation: "a", incarnation: 3, after: 6 * time.Minute}},
			sound:  [][2]string{{"boom", "a"}},
		},
		{
			name:   "a run to the end long ago",
			events: []event{{input: "boom", conversation: "a"}, {input: "boom", conversation: "a", incarnation: 1, after: 6 * time.Minute}, {input: "boom", conversation: "a", incarnation: 2}, {input: "boom", conversation: "a", incarnation: 3}},
			banned: [][2]string{{"boom", "a"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := quarantine.NewSuspects(), quarantine.NewSuspects()
			now := noon
			for n, e := range test.events {
				now = now.Add(e.after)
				seenBy := []*quarantine.Suspects{first, second}[n%2]
				if e.incarnation == 0 {
					seenBy.RecordCompletion(identity(e.input, e.conversation), now)
				} else {
					seenBy.RecordCrash(identity(e.input, e.conversation), e.incarnation, now.Add(-max(e.length, 10*time.Millisecond)), now)
				}
				now = exchange(now, first, second)
			}
			for name, s := range map[string]*quarantine.Suspects{"first": first, "second": second} {
				for _, r := range test.banned {
					require.True(t, s.Banned(identity(r[0], r[1])), "%s: %v has to be banned", name, r)
				}
				for _, r := range test.sound {
					require.False(t, s.Banned(identity(r[0], r[1])), "%s: %v must not be banned", name, r)
				}
			}
		})
	}
}

// exchange lets instances tell each other what they know, twice, and returns when they have.
func exchange(now time.Time, instances ...*quarantine.Suspects) time.Time {
	for range 2 {
		for _, from := range instances {
			crashes, cleared := from.Recent(now)
			for _, to := range instances {
				if to != from {
					to.Apply(crashes, cleared, now)
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

func TestBanEndsAfterItsTime(t *testing.T) {
	s := quarantine.NewSuspects()
	for incarnation := range uint64(3) {
		at := noon.Add(time.Duration(incarnation) * time.Second)
		s.RecordCrash(identity("boom", "a"), incarnation, at, at)
	}
	s.Recent(noon.Add(4 * time.Minute))
	require.True(t, s.Banned(identity("boom", "a")))
	s.Recent(noon.Add(6 * time.Minute))
	require.False(t, s.Banned(identity("boom", "a")))
}

// TestReportsAreBounded guards against datagrams that grow with the number of crashes.
func TestReportsAreBounded(t *testing.T) {
	s := quarantine.NewSuspects()
	for n := range 2000 {
		id := identity(fmt.Sprint("input ", n), "a")
		s.RecordCrash(id, 1, noon, noon)
		if n%2 == 0 {
			s.RecordCompletion(id, noon)
		}
	}
	crashes, cleared := s.Recent(noon)
	require.Len(t, crashes, 256)
	require.Len(t, cleared, 256)
}
