package inifile_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/examples"
)

// TestSettingsReportEveryErrorWithItsLine makes mistakes in an example file and checks that
// exactly these are reported.
func TestSettingsReportEveryErrorWithItsLine(t *testing.T) {
	tests := []struct {
		name string
		file string
		// replacements holds old and new texts in turn.
		replacements []string
		want         []string
	}{
		{
			name: "front with five mistakes", file: "settings-front.ini",
			replacements: []string{"role = front", "role = frnt", ":8080", ":80800", "grace", "graze", "[log]", "[logs]", "shards = 12", "shards = many"},
			want:         []string{"12 listen callers", "23 logs ", "4 process role", "7 process graze", "19 store shards"},
		},
		{
			name: "front without a role", file: "settings-front.ini",
			replacements: []string{"role = front\n", "", "shards = 12", "shards = 0"},
			want:         []string{"3 process role", "18 store shards"},
		},
		{
			name: "entry with a wrong role", file: "settings-entry.ini",
			replacements: []string{"role = entry", "role = entrance", "[operators]", "[operator]", "0011", "xx11"},
			want:         []string{"18 handles key", "24 operator ", "0 operators ", "6 process role"},
		},
		{
			name: "engine with a wrong role", file: "settings-engine.ini",
			replacements: []string{"role = engine", "role = model", "slots = 16", "slots = 0"},
			want:         []string{"17 engine slots", "6 process role"},
		},
		{
			name: "service with a wrong role", file: "settings-service.ini",
			replacements: []string{"role = service", "role =", "timeout = 30s", "timeout = 30"},
			want:         []string{"6 process role", "15 service timeout"},
		},
		{
			name: "invalid lines", file: "settings-front.ini",
			replacements: []string{"[process]", "stray\n[]\nrole = none\n[process]", "grace = 8s", "= 8s", "[listen]", "[listen", "metrics =", "metrics", "shards = 12", "shards = 0"},
			want:         []string{"3  ", "4  ", "10  ", "14  ", "18  ", "22 store shards"},
		},
		{
			name: "keys outside any section", file: "settings-front.ini",
			replacements: []string{"[process]", "colour = blue\nprocessors = 1\n[process]", "memory = 256", "memory = 1"},
			want:         []string{"3  colour", "4  processors", "10 process memory"},
		},
		{
			name: "after values of several lines", file: "settings-front.ini",
			replacements: []string{"name = front-1", "name = `front\n[x]\nrole = 1`", "domain = a", "domain = a\\\nb = c \\\n d", "shards = 12", "shards = 0", "format = json", "format = \"\"\"a\nlevel = b\n\"\"\""},
			want:         []string{"29 log format", "23 store shards"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, err := examples.Files.ReadFile(test.file)
			require.NoError(t, err)
			_, err = inifile.ReadSettings("x.ini", []byte(strings.NewReplacer(test.replacements...).Replace(string(text))))
			var got []string
			for _, p := range problems(t, err) {
				got = append(got, fmt.Sprintf("%d %s %s", p.Line(), p.Section(), p.Key()))
			}
			require.Equal(t, test.want, got, "%v", err)
		})
	}
}

func TestConfigurationReportsErrorsBesideUnknownModel(t *testing.T) {
	const text = "[class \"a\"]\nrank = urgent\ntarget = 1s\nbudget = 5\nmodel = m\n[drain]\nendpoint = model-1\n"
	err := readConfiguration("c.ini", []byte(text))
	require.ErrorContains(t, err, `names model "m"`)
	require.ErrorContains(t, err, "c.ini:7: [drain] endpoint: unknown key")
}

// TestScriptsReportEveryErrorOnce checks that the steps of an agent are checked whether no
// step, one or several run it.
func TestScriptsReportEveryErrorOnce(t *testing.T) {
	const head = "[program]\nclass = a\n[step \"x\"]\nuser = hello\n"
	const agent = "[agent \"b\"]\nclass = a\nbudgt = 3\n[step \"b/y\"]\nuser = hello\nmax-tokens = 0\n"
	const runs = "[step \"one\"]\naction = agent\nagent = b\n"
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "agent that no step runs", text: head + agent, want: []string{"7 agent \"b\" budgt", "10 step \"b/y\" max-tokens"}},
		{name: "agent that a step runs", text: head + agent + runs, want: []string{"7 agent \"b\" budgt", "10 step \"b/y\" max-tokens"}},
		{name: "agent that two steps run", text: head + agent + runs + strings.Replace(runs, "one", "two", 1), want: []string{"7 agent \"b\" budgt", "10 step \"b/y\" max-tokens"}},
		{name: "agent that runs itself", text: head + agent + strings.Replace(runs, "one", "b/one", 1), want: []string{"7 agent \"b\" budgt", "13 step \"b/one\" agent", "10 step \"b/y\" max-tokens"}},
		{name: "steps of a missing agent", text: head + "[step \"c/y\"]\nuser = hello\nmax-tokens = 0\n", want: []string{"5 step \"c/y\" ", "7 step \"c/y\" max-tokens"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := inifile.ReadScript("x.ini", []byte(test.text))
			var got []string
			for _, p := range problems(t, err) {
				got = append(got, fmt.Sprintf("%d %s %s", p.Line(), p.Section(), p.Key()))
			}
			require.Equal(t, test.want, got, "%v", err)
		})
	}
}
