package soak

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEndingFault(t *testing.T) {
	exited := func(code int) syscall.WaitStatus { return syscall.WaitStatus(code << 8) }
	by := func(s syscall.Signal) syscall.WaitStatus { return syscall.WaitStatus(s) }
	tests := []struct {
		name   string
		ending ending
		want   string
	}{
		{"runs", ending{running: true}, ""},
		{"killed by the schedule", ending{status: by(syscall.SIGKILL), killed: true}, ""},
		{"killed by another", ending{status: by(syscall.SIGKILL)}, `was ended by the signal "killed"`},
		{"stopped", ending{status: exited(0), stopped: true, ready: true}, ""},
		{"stopped while it starts", ending{status: by(syscall.SIGTERM), stopped: true}, ""},
		{"ended by SIGTERM when it was ready", ending{status: by(syscall.SIGTERM), stopped: true, ready: true}, `was ended by the signal "terminated"`},
		{"ended by SIGHUP", ending{status: by(syscall.SIGHUP)}, `was ended by the signal "hangup"`},
		{"ended by a closed pipe", ending{status: by(syscall.SIGPIPE)}, `was ended by the signal "broken pipe"`},
		{"failed after SIGTERM", ending{status: exited(1), stopped: true, ready: true}, "exited with code 1"},
		{"failed before SIGKILL", ending{status: exited(2), killed: true}, "exited with code 2"},
		{"ended by itself", ending{status: exited(0)}, "exited by itself"},
		{"does not end", ending{running: true, overdue: true, stopped: true, ready: true}, "has not ended within the grace period"},
		{"is not ready", ending{running: true, unready: true}, "is not ready"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.ending.started = "first"
			want := test.want
			if want != "" {
				want += ", 0s after its start (started: first)"
			}
			require.Equal(t, want, test.ending.fault())
		})
	}
}

func TestLevels(t *testing.T) {
	before := level{files: 20}
	require.Empty(t, level{files: 200, peakMB: memoryMB}.memoryFault())
	require.Equal(t, "held 155 MB of memory, allowed are 154", level{peakMB: memoryMB + 1}.memoryFault())
	require.Empty(t, level{files: 20 + spareFiles}.filesFault(before))
	require.Equal(t, "holds 121 open files after its callers have gone, 20 when it became ready", level{files: 20 + spareFiles + 1}.filesFault(before))
}

func TestScheduleOfASeedIsTheSame(t *testing.T) {
	all, err := ParseFaults("")
	require.NoError(t, err)
	for seed := range uint64(200) {
		events := draw(seed, time.Minute, all)
		require.Equal(t, events, draw(seed, time.Minute, all))
		require.NotEmpty(t, events)
		for _, e := range events {
			require.GreaterOrEqual(t, e.at, firstFault)
			require.LessOrEqual(t, e.at+e.span, time.Minute-calm)
		}
	}
	require.NotEqual(t, draw(1, time.Minute, all), draw(2, time.Minute, all))
}

func TestParseFaults(t *testing.T) {
	all, err := ParseFaults("")
	require.NoError(t, err)
	require.Len(t, all, len(faults))
	tests := []struct {
		list string
		want []Fault
	}{
		{"kill, crash", []Fault{FaultKill, FaultCrash}},
		{"kill,crash,-kill", []Fault{FaultCrash}},
		{"-pipe", slices.DeleteFunc(slices.Clone(all), func(f Fault) bool { return f == FaultPipe })},
	}
	for _, test := range tests {
		t.Run(test.list, func(t *testing.T) {
			got, err := ParseFaults(test.list)
			require.NoError(t, err)
			require.Equal(t, test.want, got)
		})
	}
	_, err = ParseFaults("earthquake")
	require.EqualError(t, err, `parse faults: no fault is named "earthquake"`)
}
