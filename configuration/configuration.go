package configuration

import (
	"sort"

	"github.com/lavendervale/lavendervale/class"
)

// Configuration is the parsed content of one published version. It is immutable.
type Configuration struct {
	classes  map[string]*class.Class
	services map[string]*Service
	models   map[string]*Model
	draining map[string]bool
}

// Config holds the contents of a Configuration.
type Config struct {
	// Classes lists the classes; their names must differ.
	Classes []*class.Class
	// Services lists the plain services, which are not model engines.
	Services []*Service
	// Models lists the models that engines serve.
	Models []*Model
	// Draining names the endpoints that accept no new work.
	Draining []string
}

// New returns a configuration. It returns an error of KindInvalid when two classes have the
// same name or a class names a model that is not in Models.
func New(c Config) (*Configuration, error) {
	const op = "check configuration"
	configuration := &Configuration{
		classes: map[string]*class.Class{}, services: map[string]*Service{},
		models: map[string]*Model{}, draining: map[string]bool{},
	}
	for _, m := range c.Models {
		configuration.models[m.Name()] = m
	}
	for _, cl := range c.Classes {
		if _, ok := configuration.classes[cl.Name()]; ok {
			return nil, Errorf(op, KindInvalid, "class %q is defined twice", cl.Name())
		}
		if _, ok := configuration.models[cl.Model()]; cl.Model() != "" && !ok {
			return nil, Errorf(op, KindInvalid, "class %q names model %q, which is not published", cl.Name(), cl.Model())
		}
		configuration.classes[cl.Name()] = cl
	}
	for _, s := range c.Services {
		configuration.services[s.Name()] = s
	}
	for _, name := range c.Draining {
		configuration.draining[name] = true
	}
	return configuration, nil
}

// Empty returns a configuration without any classes, services, models and draining
// endpoints.
func Empty() *Configuration {
	configuration, _ := New(Config{})
	return configuration
}

// Class returns the class with a name, or false.
func (c *Configuration) Class(name string) (*class.Class, bool) {
	cl, ok := c.classes[name]
	return cl, ok
}

// Classes returns all classes, ordered by rank and name.
func (c *Configuration) Classes() []*class.Class {
	list := make([]*class.Class, 0, len(c.classes))
	for _, cl := range c.classes {
		list = append(list, cl)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Rank() != list[j].Rank() {
			return list[i].Rank() < list[j].Rank()
		}
		return list[i].Name() < list[j].Name()
	})
	return list
}

// Service returns the service with a name, or false.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Model returns the model with a name, or false.
func (c *Configuration) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Draining reports whether the named endpoint must accept no new work.
func (c *Configuration) Draining(endpoint string) bool { return c.draining[endpoint] }

// DrainingEndpoints returns the names of the draining endpoints, sorted.
func (c *Configuration) DrainingEndpoints() []string {
	names := make([]string, 0, len(c.draining))
	for n := range c.draining {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
