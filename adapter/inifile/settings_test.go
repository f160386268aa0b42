package inifile_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/examples"
)

const settingsWithProblems = `
[process]
name = model-1
domain = a
role = engine
colour = blue

[listen]
peers = models.example:7410

[platform]
address = 127.0.0.1

[engine]
address = 127.0.0.1:8000
slots = many

[operators]
head = a-key-that-is-long-enough

[weights]
first = 1
`

func problems(t *testing.T, err error) []inifile.Problem {
	t.Helper()
	var e *inifile.Error
	require.ErrorAs(t, err, &e)
	return e.Problems()
}

func TestSettingsReportEveryError(t *testing.T) {
	_, err := inifile.ReadSettings("model.ini", []byte(settingsWithProblems))
	type location struct{ section, key, value string }
	var got []location
	for _, p := range problems(t, err) {
		require.Equal(t, "model.ini", p.File())
		require.NotEmpty(t, p.Message())
		got = append(got, location{p.Section(), p.Key(), p.Value()})
	}
	require.Equal(t, []location{
		{"engine", "slots", "many"},
		{"listen", "admin", ""},
		{"listen", "peers", "models.example:7410"},
		{"platform", "address", "127.0.0.1"},
		{"process", "colour", ""},
		{"weights", "", ""},
	}, got)
}

func TestSettingsRequiredByEachRole(t *testing.T) {
	tests := []struct {
		role string
		want []string
	}{
		{role: "entry", want: []string{"callers", "handles", "listen", "listen", "operators", "platform"}},
		{role: "engine", want: []string{"engine", "listen", "listen", "operators", "platform"}},
		{role: "service", want: []string{"listen", "listen", "operators", "service", "service"}},
	}
	for _, test := range tests {
		t.Run(test.role, func(t *testing.T) {
			_, err := inifile.ReadSettings("x.ini", []byte("[process]\nname = a\ndomain = b\nrole = "+test.role+"\n"))
			var sections []string
			for _, p := range problems(t, err) {
				sections = append(sections, p.Section())
			}
			require.Equal(t, test.want, sections)
		})
	}
}

func TestSettingsErrorsContainNoSecrets(t *testing.T) {
	const secret = "00112233445566778899aabbccddeeff"
	tests := []struct {
		name string
		text string
	}{
		{name: "invalid key of handles", text: "[process]\nrole = entry\n[handles]\nkey = " + secret},
		{name: "short key of a caller", text: "[process]\nrole = entry\n[callers]\nomuti = " + secret[:15]},
		{name: "mistyped key of a secret", text: "[process]\nrole = entry\n[handles]\nkye = " + secret},
		{name: "secret in a section of another kind", text: "[process]\nrole = entry\nprevious-key = " + secret},
		{name: "secret outside any section", text: "key = " + secret},
		{name: "secret in an unknown section", text: "[handle]\nkey = " + secret},
		{name: "secret before its owner", text: "[process]\nrole = entry\n[callers]\n" + secret + " = omuti"},
		{name: "same secret before two owners", text: "[process]\nrole = entry\n[callers]\n" + secret + " = omuti-pods-trading\n" + secret[:31] + " = omuti-pods-trading"},
		{name: "line without an equals sign", text: "[handles]\nkey " + secret},
		{name: "line without a key", text: "[handles]\n= " + secret},
		{name: "key with an open quote", text: "[handles]\n\"key = " + secret},
		{name: "value with an open quote", text: "[handles]\nkey = `" + secret + "\nprevious-key = 1"},
		{name: "section that is not closed", text: "[process]\nrole = entry\n[handles\nkey = " + secret},
		{name: "section without a name", text: "[process]\nrole = entry\n[]\nkey = " + secret},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := readSettings("x.ini", []byte(test.text+"\n"))
			require.Error(t, err)
			require.NotContains(t, err.Error(), secret[:15])
		})
	}
}

// TestKeysOfOwnersMustDiffer checks that two owners with the same key are reported with the
// lines of both, also beside another mistake.
func TestKeysOfOwnersMustDiffer(t *testing.T) {
	const key = "00112233445566778899aabbccddeeff"
	text := "[process]\nrole = entry\n[callers]\nomuti = " + key + "\ncernavoda = another-" + key + "\nerongo = " + key + "\n"
	err := readSettings("x.ini", []byte(text))
	require.ErrorContains(t, err, "x.ini:6: [callers]: the key is the same as that of line 4")
	require.NotContains(t, err.Error(), "x.ini:5")
}

func TestExamplesAreValid(t *testing.T) {
	tests := []struct {
		file string
		read func(name string, text []byte) error
	}{
		{file: "settings-entry.ini", read: readSettings},
		{file: "settings-engine.ini", read: readSettings},
		{file: "settings-service.ini", read: readSettings},
		{file: "settings-front.ini", read: readSettings},
		{file: "quote.ini", read: readScript},
		{file: "survey.ini", read: readScript},
		{file: "tally.ini", read: readScript},
		{file: "configuration.ini", read: readConfiguration},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			text, err := examples.Files.ReadFile(test.file)
			require.NoError(t, err)
			require.NoError(t, test.read(test.file, text))
		})
	}
	entries, err := os.ReadDir("../../examples")
	require.NoError(t, err)
	require.Len(t, entries, len(tests)+1, "each example file must be in the table; the directory also holds one Go file")
}

func readSettings(name string, text []byte) error {
	_, err := inifile.ReadSettings(name, text)
	return err
}

func readScript(name string, text []byte) error {
	_, err := inifile.ReadScript(name, text)
	return err
}

func readConfiguration(name string, text []byte) error {
	_, err := inifile.ReadConfiguration(name, text)
	return err
}

func TestConfigurationErrors(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{name: "rank", text: "[class \"a\"]\nrank = high\ntarget = 1s\nbudget = 5\n", want: `rank = "high": one of urgent, background`},
		{name: "no target", text: "[class \"a\"]\nrank = urgent\nbudget = 5\n", want: "target: missing"},
		{name: "bad target", text: "[class \"a\"]\nrank = urgent\ntarget = soon\nbudget = 5\n", want: `target = "soon"`},
		{name: "method in both lists", text: "[service \"p\"]\norders = pay\nidempotent = pay\n", want: `"pay" as an order and as idempotent`},
		{name: "unknown model", text: "[class \"a\"]\nrank = urgent\ntarget = 1s\nbudget = 5\nmodel = m\n", want: `names model "m"`},
		{name: "unknown section", text: "[klass \"a\"]\n", want: "unknown section"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := readConfiguration("c.ini", []byte(test.text))
			require.Error(t, err)
			require.Contains(t, err.Error(), test.want)
		})
	}
}

// FuzzConfiguration checks that any text yields either a configuration or an error, without
// a panic.
func FuzzConfiguration(f *testing.F) {
	text, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(f, err)
	f.Add(string(text))
	f.Add("[class \"a\"]\nrank = urgent\ntarget = -1s\nbudget = 99999999999999999999\n")
	f.Fuzz(func(t *testing.T, text string) {
		configuration, err := inifile.ParseConfiguration(text)
		if (configuration == nil) == (err == nil) {
			t.Fatal("got neither or both of a configuration and an error")
		}
	})
}
