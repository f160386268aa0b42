package inifile

import (
	"math"
	"slices"
	"strings"

	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/script"
)

const (
	defaultMaxTokens = 64
)

// ReadScript reads a written-down program; a section [agent "NAME"] holds a
// sub-agent and [step "AGENT/NAME"] its steps.
func ReadScript(name string, text []byte) (*script.Script, error) {
	f := load(name, text)
	r := &scriptReader{file: f, agents: map[string]*section{}, steps: map[string][]namedSection{}}
	for _, s := range f.named("agent") {
		r.agents[s.name] = s.section
	}
	for _, s := range f.named("step") {
		owner, _, ok := strings.Cut(s.name, "/")
		if !ok {
			owner = ""
		}
		r.steps[owner] = append(r.steps[owner], s)
	}
	if !f.has("program") {
		f.note("program", "", "", "missing section")
	}
	made := r.script(f.section("program"), "")
	for owner, steps := range r.steps {
		if _, ok := r.agents[owner]; owner != "" && !ok {
			steps[0].note("", "", "no section [agent \""+owner+"\"] stands in the file")
		}
	}
	if err := f.finish("read script", "[program]", `[step "NAME"]`, `[agent "NAME"]`); err != nil {
		return nil, err
	}
	return made, nil
}

type scriptReader struct {
	file   *file
	agents map[string]*section
	steps  map[string][]namedSection
	open   []string
}

func (r *scriptReader) script(s *section, owner string) *script.Script {
	c := script.Config{
		Class:        s.required("class", "a class of work"),
		BudgetTokens: s.integer("budget", 0, 1, math.MaxInt64),
	}
	s.done()
	for _, step := range r.steps[owner] {
		c.Steps = append(c.Steps, r.step(step))
	}
	if len(c.Steps) == 0 {
		s.note("", "", "has no steps")
	}
	return script.New(c)
}

func (r *scriptReader) step(s namedSection) script.Step {
	c := script.StepConfig{Name: s.name[strings.Index(s.name, "/")+1:]}
	action := s.oneOf("action", script.Ask.String(), "ask", "do", "order", "pause", "agent")
	c.Action, _ = script.ParseAction(action)
	switch c.Action {
	case script.Ask:
		c.Messages = readMessages(s.section)
		c.MaxTokens = s.integer("max-tokens", defaultMaxTokens, 1, math.MaxInt32)
	case script.Do, script.Order:
		c.Service = s.required("service", "a published service")
		c.Method = s.required("method", "a method of the service")
		c.Payload = s.text("payload", "{}")
	case script.Pause:
		s.required("wait", "a time, such as 300ms")
		c.PauseTime = s.duration("wait", 1)
	case script.Agent:
		c.Agent = r.agent(s)
	}
	s.done()
	return script.NewStep(c)
}

func (r *scriptReader) agent(s namedSection) *script.Script {
	name := s.required("agent", "the name of an [agent] section")
	found, ok := r.agents[name]
	if !ok {
		s.note("agent", name, `the name of an [agent "NAME"] section`)
		return nil
	}
	if slices.Contains(r.open, name) {
		s.note("agent", name, "an agent can't start itself")
		return nil
	}
	r.open = append(r.open, name)
	defer func() { r.open = r.open[:len(r.open)-1] }()
	return r.script(found, name)
}

func readMessages(s *section) []program.Message {
	var messages []program.Message
	if text, ok := s.value("system"); ok {
		messages = append(messages, program.NewMessage(program.RoleSystem, text))
	}
	if text, ok := s.value("tool"); ok {
		messages = append(messages, program.NewMessage(program.RoleTool, text))
	}
	if text, ok := s.value("user"); ok {
		messages = append(messages, program.NewMessage(program.RoleUser, text))
	}
	if len(messages) == 0 {
		s.note("user", "", "missing, an ask needs one of system, tool, user")
	}
	return messages
}
