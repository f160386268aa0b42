package seal_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/program"
)

func testKey(b byte) []byte { return bytes.Repeat([]byte{b}, seal.KeyBytes) }

func newSealer(t testing.TB, c seal.Config) *seal.Sealer {
	t.Helper()
	s, err := seal.New(c)
	require.NoError(t, err)
	return s
}

func testHandle() program.Handle {
	return program.NewHandle(program.HandleConfig{
		Program: program.NewID("caller", "key"), Caller: "caller", Key: "key", Class: "quote", Home: "model-1",
		Incarnation: 7, Epoch: 2, Turn: 3, JournalPosition: -1, Parent: program.NewID("caller", "parent"), ParentHome: "model-2",
	})
}

// TestHandleOpensAfterKeyRotation checks that handles stay valid while entries change to a
// new key one after the other, and that a withdrawn key is refused.
func TestHandleOpensAfterKeyRotation(t *testing.T) {
	tests := []struct {
		name  string
		seal  seal.Config
		open  seal.Config
		fails bool
	}{
		{name: "same key", seal: seal.Config{Key: testKey(1)}, open: seal.Config{Key: testKey(1)}},
		{name: "old key still opens", seal: seal.Config{Key: testKey(1)}, open: seal.Config{Key: testKey(2), PreviousKey: testKey(1)}},
		{name: "new key opens on an entry that still seals with the old one", seal: seal.Config{Key: testKey(2)}, open: seal.Config{Key: testKey(1), PreviousKey: testKey(2)}},
		{name: "withdrawn key", seal: seal.Config{Key: testKey(1)}, open: seal.Config{Key: testKey(2)}, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, err := newSealer(t, test.seal).Seal(testHandle())
			require.NoError(t, err)
			opened, err := newSealer(t, test.open).Open(text)
			if test.fails {
				require.Equal(t, program.KindDenied, program.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, testHandle(), opened)
		})
	}
}

// FuzzOpen checks that no altered text opens as a different handle.
func FuzzOpen(f *testing.F) {
	s := newSealer(f, seal.Config{Key: testKey(1)})
	text, err := s.Seal(testHandle())
	require.NoError(f, err)
	f.Add(text)
	f.Add(text[:len(text)-1])
	f.Add("")
	f.Fuzz(func(t *testing.T, other string) {
		h, err := s.Open(other)
		if other == text {
			require.NoError(t, err)
			return
		}
		if err == nil && h != testHandle() {
			t.Fatalf("text %q opened as %v", other, h)
		}
	})
}

func TestOpenRefusesEveryChangedByte(t *testing.T) {
	s := newSealer(t, seal.Config{Key: testKey(1)})
	text, err := s.Seal(testHandle())
	require.NoError(t, err)
	for i := range len(text) - 1 {
		changed := []byte(text)
		changed[i] = 'A' + (changed[i]-'A'+1)%26
		if string(changed) == text {
			continue
		}
		_, err := s.Open(string(changed))
		require.Error(t, err, "byte %d", i)
	}
}
