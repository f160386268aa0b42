package inifile_test

import (
	"os"
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
		{name: "too little memory", old: "memory = 256", new: "memory = 1", want: "memory"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := inifile.ReadSettings("front.ini", []byte(strings.Replace(string(text), test.old, test.new, 1)))
			require.ErrorContains(t, err, test.want)
		})
	}
}
