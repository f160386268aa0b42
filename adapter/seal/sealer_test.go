package seal_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/program"
)

func key(b byte) []byte { return bytes.Repeat([]byte{b}, seal.KeyBytes) }

func sealer(t testing.TB, c seal.Config) *seal.Sealer {
	t.Helper()
	s, err := seal.New(c)
	require.NoError(t, err)
	return s
}

func handle() program.Handle {
	return program.NewHandle(program.HandleConfig{
		Program: program.NewID("caller", "key"), Caller: "caller", Key: "key", Class: "quote", Home: "model-1",
		Incarnation: 7, Epoch: 2, Turn: 3, JournalPosition: -1, Parent: program.NewID("caller", "parent"), ParentHome: "model-2",
	})
}

func TestHandleSurvivesKeyExchange(t *testing.T) {
	tests := []struct {
		name  string
		seal  seal.Config
		open  seal.Config
		fails bool
	}{
		{name: "same key", seal: seal.Config{Key: key(1)}, open: seal.Config{Key: key(1)}},
		{name: "old key still opens", seal: seal.Config{Key: key(1)}, open: seal.Config{Key: key(2), Previous: key(1)}},
		{name: "new key opens at an entry not yet changed", seal: seal.Config{Key: key(2)}, open: seal.Config{Key: key(1), Previous: key(2)}},
		{name: "key taken back", seal: seal.Config{Key: key(1)}, open: seal.Config{Key: key(2)}, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, err := sealer(t, test.seal).Seal(handle())
			require.NoError(t, err)
			opened, err := sealer(t, test.open).Open(text)
			if test.fails {
				require.Equal(t, program.KindDenied, program.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, handle(), opened)
		})
	}
}

// FuzzOpen checks that no text but a sealed handle opens.
func FuzzOpen(f *testing.F) {
	s := sealer(f, seal.Config{Key: key(1)})
	text, err := s.Seal(handle())
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
		if err == nil && h != handle() {
			t.Fatalf("text %q opened as %v", other, h)
		}
	})
}

func TestOpenRefusesEveryChangedByte(t *testing.T) {
	s := sealer(t, seal.Config{Key: key(1)})
	text, err := s.Seal(handle())
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
