package inifile

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// file is a parsed INI file with the problems found in it so far.
type file struct {
	name     string
	ini      *ini.File
	lines    *lines
	problems []Problem
	// sectionsRead holds the names of the sections that the code asked for; any other
	// section is reported as unknown.
	sectionsRead map[string]bool
}

// parseFile parses the text of a file. Lines that are not valid INI are added as problems
// and skipped.
func parseFile(fileName string, text []byte) *file {
	f := &file{name: fileName, lines: readLines(string(text)), sectionsRead: map[string]bool{}}
	// Values may contain # and ;, keys may contain colons.
	options := ini.LoadOptions{IgnoreInlineComment: true, AllowDuplicateShadowValues: false, KeyValueDelimiters: "="}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		parsed = f.parseValidLines(options)
	}
	f.ini = parsed
	return f
}

// parseValidLines parses the valid lines of a file and adds a problem for each other line.
// Errors of package ini are left out, as they quote lines, which may hold secrets.
func (f *file) parseValidLines(options ini.LoadOptions) *ini.File {
	const message = "not valid INI"
	for _, line := range f.lines.invalid {
		f.problems = append(f.problems, Problem{file: f.name, line: line.number, message: message + ": " + line.message})
	}
	parsed, err := ini.LoadSources(options, []byte(f.lines.valid()))
	if err == nil && len(f.problems) > 0 {
		return parsed
	}
	if len(f.problems) == 0 {
		f.addProblem("", "", "", message)
	}
	return ini.Empty()
}

// clone returns a copy of f to which problems can be added independently of f.
func (f *file) clone() *file {
	cloned := *f
	cloned.problems, cloned.sectionsRead = slices.Clone(f.problems), maps.Clone(f.sectionsRead)
	return &cloned
}

func (f *file) addProblem(section, key, value, message string) {
	line := f.lines.of(section, key)
	f.problems = append(f.problems, Problem{file: f.name, line: line, section: section, key: key, value: value, message: message})
}

// hasSection reports whether the file has the section.
func (f *file) hasSection(name string) bool {
	_, err := f.ini.GetSection(name)
	return err == nil
}

// section returns a section of the file, or an empty one if it is missing.
func (f *file) section(name string) *section {
	f.sectionsRead[name] = true
	s := &section{file: f, name: name, keysRead: map[string]bool{}}
	if found, err := f.ini.GetSection(name); err == nil {
		s.ini = found
	}
	return s
}

// sectionsOfKind returns the sections whose headers consist of kind and a quoted name,
// such as [class "quote"].
func (f *file) sectionsOfKind(kind string) []namedSection {
	var sections []namedSection
	for _, s := range f.ini.Sections() {
		rest, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok {
			continue
		}
		name := strings.Trim(rest, `"`)
		if name == "" || strings.ContainsAny(name, `" `) {
			f.addProblem(s.Name(), "", "", "the name in the header must be a single word in double quotes")
		}
		sections = append(sections, namedSection{name: name, section: f.section(s.Name())})
	}
	return sections
}

// namedSection is a section with the name from its header.
type namedSection struct {
	name string
	*section
}

// checkSections adds a problem for each section that no code asked for, and for each key
// outside any section. It returns all problems of the file, sorted by section and line, as
// an *Error, or nil if there are none.
func (f *file) checkSections(op string, knownSections ...string) error {
	for _, s := range f.ini.Sections() {
		switch {
		case f.sectionsRead[s.Name()]:
		case s.Name() == ini.DefaultSection:
			f.addKeysOutsideSections(s)
		default:
			f.addProblem(s.Name(), "", "", "unknown section, known sections are "+strings.Join(knownSections, ", "))
		}
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.section, b.section), cmp.Compare(a.line, b.line))
	})
	return &Error{op: op, problems: f.problems}
}

func (f *file) addKeysOutsideSections(defaultSection *ini.Section) {
	for _, k := range defaultSection.Keys() {
		f.addProblem("", k.Name(), "", "outside any section")
	}
}
