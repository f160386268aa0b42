package inifile

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/examples"
)

// addExamples adds example files to the seeds, and texts with mistakes of every kind.
func addExamples(f *testing.F, files ...string) {
	f.Helper()
	for _, file := range files {
		text, err := examples.Files.ReadFile(file)
		require.NoError(f, err)
		f.Add(string(text))
		f.Add(strings.ReplaceAll(string(text), "]", ""))
		f.Add(strings.ReplaceAll(string(text), " = ", " "))
	}
	for _, text := range []string{"", "=", "[]\na = b", "[a", "a = `b", "a = \"\"\"b", "a = b \\", "\"a = b", "[a]\r\nb=c\r\n", "\xef\xbb\xbf[a]\n- = b", "[DEFAULT]\na = b"} {
		f.Add(text)
	}
}

// checkProblems checks that an error of a reader lists problems with lines of the text.
func checkProblems(t *testing.T, text string, valid bool, err error) {
	t.Helper()
	require.Equal(t, valid, err == nil)
	if valid {
		return
	}
	var e *Error
	require.True(t, errors.As(err, &e))
	require.NotEmpty(t, e.Problems())
	for _, p := range e.Problems() {
		require.NotEmpty(t, p.Message())
		require.LessOrEqual(t, p.Line(), 1+strings.Count(text, "\n"))
	}
}

// FuzzSettings checks that any text yields either settings or problems, without a panic.
func FuzzSettings(f *testing.F) {
	addExamples(f, "settings-front.ini", "settings-entry.ini", "settings-engine.ini", "settings-service.ini")
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := ReadSettings("settings.ini", []byte(text))
		checkProblems(t, text, settings != nil, err)
	})
}

// FuzzScript checks that any text yields either a script or problems, without a panic.
func FuzzScript(f *testing.F) {
	addExamples(f, "quote.ini", "survey.ini", "tally.ini")
	f.Add("[program]\nclass=a\n[agent \"b\"]\nclass=a\n[step \"b/c\"]\naction=agent\nagent=b\n")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ReadScript("script.ini", []byte(text))
		checkProblems(t, text, parsed != nil, err)
	})
}

// FuzzLines checks that every key of a text that package ini accepts has a line.
func FuzzLines(f *testing.F) {
	addExamples(f, "settings-front.ini", "settings-entry.ini", "configuration.ini", "quote.ini")
	f.Fuzz(func(t *testing.T, text string) {
		parsed := parseFile("x.ini", []byte(text))
		if len(parsed.problems) > 0 {
			return
		}
		for _, s := range parsed.ini.Sections() {
			for _, k := range s.Keys() {
				require.NotZero(t, parsed.lines.of(s.Name(), k.Name()), "line of %q in %q", k.Name(), s.Name())
			}
		}
	})
}
