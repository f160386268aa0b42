package inifile

import (
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// file is a parsed INI file with the problems found in it so far.
type file struct {
	name     string
	ini      *ini.File
	problems []Problem
	// sectionsRead holds the names of the sections that the code asked for; any other
	// section is reported as unknown.
	sectionsRead map[string]bool
}

// parseFile parses the text of a file. If it is not valid INI, that is added as a problem
// and the file is treated as empty.
func parseFile(fileName string, text []byte) *file {
	f := &file{name: fileName, sectionsRead: map[string]bool{}}
	// Values may contain # and ;, keys may contain colons.
	options := ini.LoadOptions{IgnoreInlineComment: true, AllowDuplicateShadowValues: false, KeyValueDelimiters: "="}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		// The error quotes a line, which may hold a secret.
		f.addProblem("", "", "", "not valid INI")
		parsed = ini.Empty()
	}
	f.ini = parsed
	return f
}

func (f *file) addProblem(section, key, value, message string) {
	f.problems = append(f.problems, Problem{file: f.name, section: section, key: key, value: value, message: message})
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

// checkSections adds a problem for each section that no code asked for. It returns all
// problems of the file, sorted by section, as an *Error, or nil if there are none.
func (f *file) checkSections(op string, knownSections ...string) error {
	for _, s := range f.ini.Sections() {
		if f.sectionsRead[s.Name()] || (s.Name() == ini.DefaultSection && len(s.Keys()) == 0) {
			continue
		}
		f.addProblem(s.Name(), "", "", "unknown section, known sections are "+strings.Join(knownSections, ", "))
	}
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].section < f.problems[j].section })
	return &Error{op: op, problems: f.problems}
}
