package inifile

import (
	"math"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/configuration"
)

// ParseConfiguration parses a published configuration; it is a configuration.Parser. The
// error is an *Error that names the file "configuration".
func ParseConfiguration(text string) (*configuration.Configuration, error) {
	return ReadConfiguration("configuration", []byte(text))
}

// ReadConfiguration parses the text of a configuration file; fileName is for messages
// only. The error is an *Error.
func ReadConfiguration(fileName string, text []byte) (*configuration.Configuration, error) {
	const op = "read configuration"
	f := parseFile(fileName, text)
	config := configuration.Config{Classes: readClasses(f), Services: readServices(f), Models: readModels(f)}
	drainSection := f.section("drain")
	config.Draining = drainSection.list("endpoints")
	drainSection.checkKeys()
	parsed, err := configuration.New(config)
	if err != nil {
		f.addProblem("", "", "", err.Error())
	}
	if err := f.checkSections(op, `[class "NAME"]`, `[service "NAME"]`, `[model "NAME"]`, "[drain]"); err != nil {
		return nil, err
	}
	return parsed, nil
}

func readClasses(f *file) []*class.Class {
	var classes []*class.Class
	for _, s := range f.sectionsOfKind("class") {
		problemsBefore := len(f.problems)
		config := class.Config{Name: s.name, Model: s.optionalText("model", "")}
		rank := s.enum("rank", "", class.Urgent.String(), class.Background.String())
		config.Rank, _ = class.ParseRank(rank)
		s.requiredText("target", "the time within which a program must finish, such as 20s")
		config.Target = s.duration("target", time.Second)
		config.Worth = s.positiveNumber("worth", 1)
		s.requiredText("budget", "the number of tokens that a program may spend, such as 20000")
		config.Budget = s.integer("budget", 1, 1, math.MaxInt64)
		config.MaxTurns = int(s.integer("max-turns", 0, 1, math.MaxInt32))
		config.MaxRepeats = int(s.integer("max-repeats", 0, 2, math.MaxInt32))
		s.checkKeys()
		if len(f.problems) > problemsBefore {
			continue
		}
		parsed, err := class.New(config)
		if err != nil {
			s.addProblem("", "", err.Error())
			continue
		}
		classes = append(classes, parsed)
	}
	return classes
}

func readServices(f *file) []*configuration.Service {
	var services []*configuration.Service
	for _, s := range f.sectionsOfKind("service") {
		parsed, err := configuration.NewService(configuration.ServiceConfig{
			Name: s.name, Orders: s.list("orders"), Idempotent: s.list("idempotent"),
		})
		s.checkKeys()
		if err != nil {
			s.addProblem("", "", err.Error())
			continue
		}
		services = append(services, parsed)
	}
	return services
}

func readModels(f *file) []*configuration.Model {
	var models []*configuration.Model
	for _, s := range f.sectionsOfKind("model") {
		models = append(models, configuration.NewModel(configuration.ModelConfig{
			Name: s.name, Version: s.optionalText("version", ""), ContextTokens: s.integer("context", 0, 1, math.MaxInt64),
		}))
		s.checkKeys()
	}
	return models
}
