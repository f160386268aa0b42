package inifile_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
)

func TestFrontSettings(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings-front.ini")
	require.NoError(t, err)
	s, err := inifile.ReadSettings("front.ini", text)
	require.NoError(t, err)
	c := s.Front()
	require.Equal(t, "front-1", c.Name)
	require.Equal(t, 8*time.Second, c.GracePeriod)
	require.Equal(t, 12, c.Shards)
	require.Equal(t, 800.0, c.StoreWriteRate)
}

func TestFrontSettingsErrors(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings-front.ini")
	require.NoError(t, err)
	tests := []struct {
		name, old, new, want string
	}{
		{name: "no name", old: "name = front-1\n", want: "name"},
		{name: "grace without a unit", old: "grace = 8s", new: "grace = 8", want: "grace"},
		{name: "address with a host name", old: "address = 127.0.0.1:8090", new: "address = store:8090", want: "address"},
		{name: "no shards", old: "shards = 12", new: "shards = 0", want: "shards"},
		{name: "unknown key", old: "shards = 12", new: "shard = 12", want: "shard"},
		{name: "unknown section", old: "[log]", new: "[logs]", want: "logs"},
		{name: "key outside any section", old: "[process]\n", new: "colour = blue\n[process]\n", want: "front.ini:3: colour: outside any section"},
		{name: "heartbeat without a unit", old: "[log]", new: "[endpoints]\nheartbeat = 1200\n[log]", want: "[endpoints] heartbeat"},
		{name: "unknown key of endpoints", old: "[log]", new: "[endpoints]\ndrains = 2s\n[log]", want: "[endpoints] drains"},
		{name: "no such admission", old: "admission = queue", new: "admission = refuses", want: "[overload] admission"},
		{name: "load of zero", old: "load = 0.9", new: "load = 0", want: "[overload] load"},
		{name: "negative load", old: "load = 0.9", new: "load = -1", want: "[overload] load"},
		{name: "load beyond what engines hold", old: "load = 0.9", new: "load = 2.01", want: "[overload] load"},
		{name: "load that is no number", old: "load = 0.9", new: "load = NaN", want: "[overload] load"},
		{name: "unknown key of overload", old: "load = 0.9", new: "limit = 0.9", want: "[overload] limit"},
		{name: "unknown key of platform", old: "contracts = signed", new: "contract = signed", want: "[platform] contract"},
		{name: "too little memory", old: "memory = 256", new: "memory = 1", want: "memory"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := inifile.ReadSettings("front.ini", []byte(strings.Replace(string(text), test.old, test.new, 1)))
			require.ErrorContains(t, err, test.want)
		})
	}
}

// TestContractsTurnOnAdmissionControl guards against a platform whose contracts call for admission
// control and that does not get it, against earlier platforms that do, and against an explicit setting
// that the contracts override.
func TestContractsTurnOnAdmissionControl(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings-front.ini")
	require.NoError(t, err)
	const admission = "admission = queue\n"
	tests := []struct {
		name, contracts, admission string
		refuse, shares             bool
	}{
		{name: "no contracts"},
		{name: "empty elements", contracts: " , ,"},
		{name: "other contracts", contracts: "signed, capped"},
		{name: "contract", contracts: "signed,pressure,capped", refuse: true, shares: true},
		{name: "only a part of its name", contracts: "pressures"},
		{name: "queue in spite of the contract", contracts: "pressure", admission: "admission = queue\n", shares: true},
		{name: "refuse without a contract", admission: "admission = refuse\n", refuse: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(text), "contracts = signed,capped\n", "contracts = "+test.contracts+"\n", 1)
			changed = strings.Replace(changed, admission, test.admission, 1)
			s, err := inifile.ReadSettings("front.ini", []byte(changed))
			require.NoError(t, err)
			require.Equal(t, test.refuse, s.Front().RefuseWhenFull)
			require.Equal(t, test.shares, s.Front().FairShares)
			require.Equal(t, 0.9, s.Front().AdmissionLoad)
		})
	}
}

// TestSettingsOfEarlierDeploymentsKeepTheQueue guards against fronts that refuse programs because their
// settings have neither section.
func TestSettingsOfEarlierDeploymentsKeepTheQueue(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings-front.ini")
	require.NoError(t, err)
	before, _, found := strings.Cut(string(text), "[platform]")
	require.True(t, found)
	s, err := inifile.ReadSettings("front.ini", []byte(before))
	require.NoError(t, err)
	require.False(t, s.Front().RefuseWhenFull)
	require.False(t, s.Front().FairShares)
}

// TestDeployedSettingsAreValidForAnyContracts guards against fronts that don't start because the platform
// lists no contracts, or some that are not known.
func TestDeployedSettingsAreValidForAnyContracts(t *testing.T) {
	template, err := os.ReadFile("../../deploy/front.ini")
	require.NoError(t, err)
	optional := regexp.MustCompile(`(?s)\{\{#.*?\{\{/.*?\}\}`)
	for contracts, refuse := range map[string]bool{"": false, "signed,unknown": false, "signed,pressure": true} {
		values := strings.NewReplacer(
			"{{node}}", "front-1", "{{zone}}", "a", "{{bounds.grace_s}}", "8", "{{limits.memory_mb}}", "256", "{{limits.cpu_share}}", "0.8",
			"{{listen.front}}", "127.0.0.1:1", "{{listen.ready}}", "127.0.0.1:2", "{{ip}}:{{port_range.0}}", "127.0.0.1:3", "{{ip}}", "127.0.0.1",
			"{{platform.address}}", "127.0.0.1:4", "{{platform.parts}}", "12", "{{platform.writes_per_s}}", "800", "{{contracts}}", contracts,
		)
		text := values.Replace(optional.ReplaceAllString(string(template), ""))
		s, err := inifile.ReadSettings("front.ini", []byte(text))
		require.NoError(t, err, text)
		require.Equal(t, refuse, s.Front().RefuseWhenFull, contracts)
	}
}

// TestTimesOfEndpoints guards against fronts that take endpoints for crashed by the times of another platform, or that don't start
// because the platform names none.
func TestTimesOfEndpoints(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings-front.ini")
	require.NoError(t, err)
	tests := []struct {
		name, section    string
		drain, heartbeat time.Duration
	}{
		{name: "no section"},
		{name: "empty section", section: "[endpoints]\n"},
		{name: "both", section: "[endpoints]\ndrain = 4000ms\nheartbeat = 1500ms\n", drain: 4 * time.Second, heartbeat: 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := inifile.ReadSettings("front.ini", []byte(strings.Replace(string(text), "[log]", test.section+"[log]", 1)))
			require.NoError(t, err)
			require.Equal(t, test.drain, s.Front().DrainTime)
			require.Equal(t, test.heartbeat, s.Front().HeartbeatInterval)
		})
	}
}
