package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/queue"
)

var start = time.Unix(1000, 0)

func newItem(name string, c queue.ItemConfig) *queue.Item[string] {
	if c.StartedAt.IsZero() {
		c.StartedAt = start
	}
	return queue.NewItem(c, name)
}

func popAll(q *queue.Queue[string]) []string {
	var names []string
	for i := q.Pop(); i != nil; i = q.Pop() {
		names = append(names, i.Value())
	}
	return names
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		items []*queue.Item[string]
		want  []string
	}{
		{
			name: "urgent first",
			items: []*queue.Item[string]{
				newItem("b", queue.ItemConfig{Rank: class.Background}), newItem("u", queue.ItemConfig{Rank: class.Urgent}),
			},
			want: []string{"u", "b"},
		},
		{
			name: "least slack of the whole program",
			items: []*queue.Item[string]{
				newItem("late target", queue.ItemConfig{Target: time.Minute, RemainingService: time.Second, HasEstimate: true}),
				newItem("long rest", queue.ItemConfig{Target: time.Minute, RemainingService: 50 * time.Second, HasEstimate: true}),
				newItem("soon", queue.ItemConfig{Target: 5 * time.Second, RemainingService: time.Second, HasEstimate: true}),
			},
			want: []string{"soon", "long rest", "late target"},
		},
		{
			name: "least attained service without an estimate",
			items: []*queue.Item[string]{
				newItem("much", queue.ItemConfig{AttainedService: 9 * time.Second}), newItem("little", queue.ItemConfig{AttainedService: time.Second}),
			},
			want: []string{"little", "much"},
		},
		{
			name: "running programs before new ones",
			items: []*queue.Item[string]{
				newItem("new", queue.ItemConfig{FirstCall: true}), newItem("running", queue.ItemConfig{AttainedService: time.Hour}),
			},
			want: []string{"running", "new"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := queue.New[string](queue.Floors{})
			for _, i := range test.items {
				q.Push(i)
			}
			require.Equal(t, test.want, popAll(q))
		})
	}
}

func TestFloorIsGuaranteedAndWorkConserving(t *testing.T) {
	urgent, err := class.New(class.Config{Name: "u", Rank: class.Urgent, Target: time.Second, Worth: 1, Budget: 1})
	require.NoError(t, err)
	background, err := class.New(class.Config{Name: "b", Rank: class.Background, Target: time.Minute, Worth: 1, Budget: 1})
	require.NoError(t, err)
	floors := queue.NewFloors([]*class.Class{urgent, background})
	q := queue.New[string](floors)
	served := map[class.Rank]int64{}
	for range 20_000 {
		for q.Waiting(class.Urgent) < 5 {
			q.Push(newItem("u", queue.ItemConfig{Rank: class.Urgent, Cost: 100}))
		}
		for q.Waiting(class.Background) < 5 {
			q.Push(newItem("b", queue.ItemConfig{Rank: class.Background, Cost: 300}))
		}
		i := q.Pop()
		served[i.Rank()] += i.Cost()
	}
	share := float64(served[class.Background]) / float64(served[class.Urgent]+served[class.Background])
	require.InDelta(t, floors.Share(class.Background), share, 0.05*floors.Share(class.Background))
	q = queue.New[string](floors)
	for range 10 {
		q.Push(newItem("b", queue.ItemConfig{Rank: class.Background, Cost: 300}))
	}
	require.Len(t, popAll(q), 10, "a rank that has work alone is served in full")
}

// TestQueueStateMachine applies random operations and checks the queue against a plain list
// of the waiting items.
func TestQueueStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[string](queue.NoFloors())
		var waiting []*queue.Item[string]
		pushed := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { require.Equal(t, len(waiting), q.Len()) },
			"push": func(t *rapid.T) {
				pushed++
				i := newItem(fmt.Sprint(pushed), queue.ItemConfig{
					Rank: class.Rank(rapid.IntRange(0, 1).Draw(t, "rank")), AttainedService: time.Duration(rapid.IntRange(0, 5).Draw(t, "attained")),
				})
				waiting = append(waiting, i)
				q.Push(i)
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				index := rapid.IntRange(0, len(waiting)-1).Draw(t, "at")
				require.True(t, q.Remove(waiting[index]))
				require.False(t, q.Remove(waiting[index]))
				waiting = append(waiting[:index:index], waiting[index+1:]...)
			},
			"pop": func(t *rapid.T) {
				i := q.Pop()
				if len(waiting) == 0 {
					require.Nil(t, i)
					return
				}
				for index, candidate := range waiting {
					require.LessOrEqual(t, i.Rank(), candidate.Rank())
					if candidate == i {
						waiting = append(waiting[:index:index], waiting[index+1:]...)
						return
					}
				}
				t.Fatal("Pop returned an item that was not waiting")
			},
		})
	})
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	const waiting = 10_000
	q := queue.New[string](queue.Floors{})
	for i := range waiting {
		q.Push(newItem("", queue.ItemConfig{AttainedService: time.Duration(i * 7919 % waiting)}))
	}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		i := q.Pop()
		q.Push(i)
	}))
}

// BenchmarkDecision measures Pop and Push, whose time must grow only with the logarithm
// of the number of waiting calls.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := queue.New[string](queue.Floors{})
			for i := range waiting {
				q.Push(newItem("", queue.ItemConfig{AttainedService: time.Duration(i * 7919 % waiting)}))
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Push(q.Pop())
			}
		})
	}
}
