package turn

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// TestReplicasThatContinueEachOtherEndTheSearch guards against the end of the process by
// replicas of a corrupt front.
func TestReplicasThatContinueEachOtherEndTheSearch(t *testing.T) {
	replica := func(attempt, previous, text string) []byte {
		data, err := proto.Marshal(&turnpb.Record{Body: &turnpb.Record_End{End: &turnpb.End{Attempt: attempt, Turn: &turnpb.Turn{Previous: previous, Text: []byte(text)}}}})
		require.NoError(t, err)
		return data
	}
	tests := []struct {
		name     string
		replicas [][]byte
		want     string
		found    bool
	}{
		{name: "chain", replicas: [][]byte{replica("a", "b", "2"), replica("b", "", "1")}, want: "12", found: true},
		{name: "turn that continues itself", replicas: [][]byte{replica("a", "a", "1")}},
		{name: "turns that continue each other", replicas: [][]byte{replica("a", "b", "1"), replica("b", "a", "2")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text, found := newMemorySet().FindInMemory("a", map[int][][]byte{0: test.replicas})
				require.Equal(t, test.found, found)
				require.Equal(t, test.want, string(text))
			})
		})
	}
}
