package inifile

import (
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Quotes that a value of several lines may start with.
const (
	tripleQuote = `"""`
	backQuote   = "`"
)

// keyLocation identifies a key of a file.
type keyLocation struct{ section, key string }

// invalidLine is a line that is not valid INI.
type invalidLine struct {
	number  int
	message string
}

// lines holds where the sections and keys of a file are, counted from 1. Package ini
// reports no line numbers, and stops at the first invalid line.
type lines struct {
	text []string
	// section is the one that the lines being read belong to.
	section string
	// numbered counts the keys of the section that are given as "-"; package ini names them
	// by their numbers.
	numbered int
	// skipping is set from a header without a name to the next header.
	skipping  bool
	bySection map[string]int
	byKey     map[keyLocation]int
	// invalid holds the invalid lines. They are replaced in text so that it is valid.
	invalid []invalidLine
}

// readLines finds the sections and keys in the text of a file.
func readLines(text string) *lines {
	l := &lines{
		text: strings.Split(trimByteOrderMarks(text), "\n"), section: ini.DefaultSection,
		bySection: map[string]int{}, byKey: map[keyLocation]int{},
	}
	for i := 0; i < len(l.text); i++ {
		line := strings.TrimSpace(l.text[i])
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			l.readHeader(i, line)
		case l.skipping:
			l.text[i] = ""
		default:
			i = l.readKey(i, line)
		}
	}
	return l
}

// trimByteOrderMarks removes the byte order marks that package ini skips before a text.
func trimByteOrderMarks(text string) string {
	for {
		trimmed := text
		for _, mark := range []string{"\xef\xbb\xbf", "\xfe\xff", "\xff\xfe"} {
			trimmed = strings.TrimPrefix(trimmed, mark)
		}
		if len(trimmed) == len(text) {
			return text
		}
		text = trimmed
	}
}

// valid returns the text of the file without its invalid lines.
func (l *lines) valid() string { return strings.Join(l.text, "\n") }

// of returns the line of a key, that of its section if the file does not have the key, and
// 0 if it does not have the section either.
func (l *lines) of(section, key string) int {
	if section == "" {
		section = ini.DefaultSection
	}
	if line, ok := l.byKey[keyLocation{section, key}]; ok {
		return line
	}
	return l.bySection[section]
}

// replaceInvalid reports line i of the text as invalid and replaces it. The message does
// not quote the line, which may hold a secret.
func (l *lines) replaceInvalid(i int, message, replacement string) {
	l.invalid = append(l.invalid, invalidLine{number: i + 1, message: message})
	l.text[i] = replacement
}

// readHeader reads the header of a section. One that is not closed counts as closed, so
// that its keys are not taken for those of the section before.
func (l *lines) readHeader(i int, line string) {
	l.skipping = false
	name := line[1:]
	if end := strings.LastIndexByte(line, ']'); end >= 0 {
		name = line[1:end]
	} else {
		l.replaceInvalid(i, "the header of the section is not closed by ]", line+"]")
	}
	if name == "" {
		l.replaceInvalid(i, "the header of the section has no name", "")
		l.skipping = true
		return
	}
	l.section, l.numbered = name, 0
	if _, ok := l.bySection[name]; !ok {
		l.bySection[name] = i + 1
	}
}

// readKey reads a key with its value and returns the last line of the value.
func (l *lines) readKey(i int, line string) int {
	key, value, ok := cutKey(line)
	if !ok {
		l.replaceInvalid(i, "neither a section, a comment nor a line of the form KEY = VALUE", "")
		return i
	}
	if key == "-" {
		l.numbered++
		key = "#" + strconv.Itoa(l.numbered)
	}
	l.byKey[keyLocation{l.section, key}] = i + 1
	for _, quote := range []string{tripleQuote, backQuote} {
		quoted, ok := strings.CutPrefix(value, quote)
		if !ok || strings.Contains(quoted, quote) {
			continue
		}
		for last := i + 1; last < len(l.text); last++ {
			if strings.Contains(l.text[last], quote) {
				return last
			}
		}
		l.replaceInvalid(i, "the quote before the value is not closed", key+" = "+strings.Trim(quoted, "\"`\\"))
		return i
	}
	for strings.HasSuffix(value, `\`) && i+1 < len(l.text) {
		i++
		value = strings.TrimSpace(l.text[i])
	}
	return i
}

// cutKey splits a line at the equals sign behind its key, which may be quoted.
func cutKey(line string) (key, value string, ok bool) {
	for _, quote := range []string{tripleQuote, `"`, backQuote} {
		rest, quoted := strings.CutPrefix(line, quote)
		if !quoted {
			continue
		}
		key, rest, _ = strings.Cut(rest, quote)
		_, value, ok = strings.Cut(rest, "=")
		return strings.TrimSpace(key), strings.TrimSpace(value), ok && key != ""
	}
	key, value, ok = strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	return key, strings.TrimSpace(value), ok && key != ""
}
