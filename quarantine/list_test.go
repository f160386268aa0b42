package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

func TestVerdictAfterEvents(t *testing.T) {
	request := program.Digest{1}
	crash, cleared := quarantine.Event{Request: request}, quarantine.Event{Request: request, Cleared: true}
	tests := []struct {
		name   string
		events []quarantine.Event
		want   quarantine.Verdict
	}{
		{name: "no events", want: quarantine.Clear},
		{name: "another request", events: []quarantine.Event{{Request: program.Digest{2}}}, want: quarantine.Clear},
		{name: "one crash", events: []quarantine.Event{crash}, want: quarantine.Suspect},
		{name: "two crashes", events: []quarantine.Event{crash, crash}, want: quarantine.Quarantined},
		{name: "cleared after one crash", events: []quarantine.Event{crash, cleared}, want: quarantine.Clear},
		{name: "one crash after being cleared", events: []quarantine.Event{crash, cleared, crash}, want: quarantine.Suspect},
		{name: "cleared after being quarantined", events: []quarantine.Event{crash, crash, cleared}, want: quarantine.Quarantined},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := quarantine.NewList()
			for _, e := range test.events {
				l.Apply(e)
			}
			require.Equal(t, test.want, l.Verdict(request))
		})
	}
}
