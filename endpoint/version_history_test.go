package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestHistoryTellsOfVersionsThatHaveLeft checks when a version that served before this instance
// started may have begun a stream.
func TestHistoryTellsOfVersionsThatHaveLeft(t *testing.T) {
	tests := []struct {
		name    string
		history []endpoint.ServiceVersion
		// unread is set if the history can't be read.
		unread bool
		after  time.Duration
		want   bool
	}{
		{name: "not read yet", unread: true, want: true},
		{name: "not read for long", unread: true, after: 5 * time.Minute, want: true},
		{name: "empty"},
		{name: "the version that serves", history: []endpoint.ServiceVersion{{"s", "v1"}}},
		{name: "another version", history: []endpoint.ServiceVersion{{"s", "v0"}}, want: true},
		{name: "both", history: []endpoint.ServiceVersion{{"s", "v0"}, {"s", "v1"}}, want: true},
		{name: "another version, a minute after the start", history: []endpoint.ServiceVersion{{"s", "v0"}}, after: 61 * time.Second},
		{name: "another service", history: []endpoint.ServiceVersion{{"other", "v0"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := endpoint.NewDirectory()
			d.AwaitVersionHistory()
			d.Put(versioned("a", "v1", 1), noon)
			if !test.unread {
				d.ApplyVersionHistory(test.history, noon)
			}
			require.Equal(t, test.want, d.SeveralVersions("s", noon.Add(test.after)))
		})
	}
}

// TestVersionHistoryChanges checks what has to be recorded, and what no longer.
func TestVersionHistoryChanges(t *testing.T) {
	v0, v1 := endpoint.ServiceVersion{Service: "s", Version: "v0"}, endpoint.ServiceVersion{Service: "s", Version: "v1"}
	tests := []struct {
		name              string
		history           []endpoint.ServiceVersion
		change            func(d *endpoint.Directory)
		after             time.Duration
		missing, outdated []endpoint.ServiceVersion
	}{
		{name: "new version", missing: []endpoint.ServiceVersion{v1}},
		{name: "recorded", history: []endpoint.ServiceVersion{v1}},
		{name: "an earlier one may still be resumed", history: []endpoint.ServiceVersion{v0, v1}, after: 50 * time.Second},
		{name: "an earlier one has ended", history: []endpoint.ServiceVersion{v0, v1}, after: 2 * time.Minute, outdated: []endpoint.ServiceVersion{v0}},
		{name: "its record is removed", history: []endpoint.ServiceVersion{v0, v1}, after: 2 * time.Minute, change: func(d *endpoint.Directory) {
			d.RemoveFromVersionHistory(v0)
		}},
		{name: "it serves again after that", history: []endpoint.ServiceVersion{v0, v1}, after: 2 * time.Minute, missing: []endpoint.ServiceVersion{v0}, change: func(d *endpoint.Directory) {
			d.RemoveFromVersionHistory(v0)
			d.Put(versioned("b", "v0", 1), noon.Add(2*time.Minute))
		}},
		{name: "a version without a name", history: []endpoint.ServiceVersion{v1, {Service: "s"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := endpoint.NewDirectory()
			d.Put(versioned("a", "v1", 1), noon)
			d.ApplyVersionHistory(test.history, noon)
			if test.change != nil {
				test.change(d)
			}
			missing, outdated := d.VersionHistoryChanges(noon.Add(test.after))
			require.Equal(t, test.missing, missing)
			require.Equal(t, test.outdated, outdated)
		})
	}
}
