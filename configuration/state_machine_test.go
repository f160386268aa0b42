package configuration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavendervale/lavendervale/configuration"
)

func parse(text string) (*configuration.Configuration, error) {
	if text == "bad" {
		return nil, configuration.Errorf("parse", configuration.KindInvalid, "bad text")
	}
	return configuration.Empty(), nil
}

func newRecord(offset, base int64, text string) configuration.Record {
	return configuration.NewRecord(configuration.RecordConfig{Version: offset, Offset: offset, Base: base, Text: text, Author: "head", Time: time.Unix(offset, 0)})
}

func TestOnlyRecordsMadeFromTheVersionInForceAreAccepted(t *testing.T) {
	tests := []struct {
		name    string
		records []configuration.Record
		version int64
	}{
		{name: "first version", records: []configuration.Record{newRecord(0, -1, "a")}, version: 0},
		{name: "of two made from the same version, the first is accepted", records: []configuration.Record{newRecord(0, -1, "a"), newRecord(1, 0, "b"), newRecord(2, 0, "c")}, version: 1},
		{name: "made from a refused one", records: []configuration.Record{newRecord(0, -1, "a"), newRecord(1, 0, "bad"), newRecord(2, 1, "c")}, version: 0},
		{name: "appended twice after a lost reply", records: []configuration.Record{newRecord(0, -1, "a"), newRecord(1, 0, "b"), newRecord(2, 0, "b")}, version: 1},
		{name: "log restarts with lower offsets", records: []configuration.Record{newRecord(0, -1, "a"), newRecord(7, 0, "b"), newRecord(0, 7, "c"), newRecord(1, 8, "d")}, version: 9},
		{name: "made from an unknown version", records: []configuration.Record{newRecord(4, 3, "a")}, version: configuration.NoVersion},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := configuration.NewStore(parse)
			for _, r := range test.records {
				_ = store.Apply(r)
			}
			require.Equal(t, test.version, store.Version())
		})
	}
}

// TestVersionNeverGoesBack applies and installs records in random order and repeatedly, as
// they arrive after a restart of the log and from several entries. It guards against an old
// record replacing a newer configuration.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := configuration.NewStore(parse)
		highest := configuration.NoVersion
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := newRecord(rapid.Int64Range(0, 12).Draw(t, "offset"), rapid.Int64Range(-1, 12).Draw(t, "base"), rapid.SampledFrom([]string{"a", "bad"}).Draw(t, "text"))
			before := store.Version()
			if rapid.Bool().Draw(t, "install") {
				_ = store.Install(r)
			} else if store.Apply(r) == nil && r.Base() != before {
				t.Fatalf("record at offset %d made from version %d was accepted while %d was in force", r.Offset(), r.Base(), before)
			}
			if store.Version() < highest {
				t.Fatalf("version decreased from %d to %d", highest, store.Version())
			}
			highest = store.Version()
		}
	})
}

// TestHistoryRecordsEveryDecision guards against losing accepted or refused records from the
// history that operators see.
func TestHistoryRecordsEveryDecision(t *testing.T) {
	store := configuration.NewStore(parse)
	require.Error(t, store.Apply(newRecord(0, -1, "bad")))
	require.NoError(t, store.Apply(newRecord(1, -1, "a")))
	require.Error(t, store.Apply(newRecord(2, -1, "b")))
	history := store.History()
	require.Len(t, history, 3)
	require.Error(t, history[0].Err)
	require.NoError(t, history[1].Err)
	decision, ok := store.DecisionAt(1)
	require.True(t, ok)
	require.EqualValues(t, 1, decision.Record.Version())
}
