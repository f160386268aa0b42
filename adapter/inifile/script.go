package inifile

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/script"
)

const (
	// defaultMaxTokens is the default of max-tokens, the limit of the tokens generated in
	// a step.
	defaultMaxTokens = 64
)

// ReadScript parses a script, a program given as a list of steps; fileName is for messages
// only. A section [agent "NAME"] declares a sub-agent and sections [step "NAME/STEP"] its
// steps; steps without an agent belong to [program]. The error is an *Error.
func ReadScript(fileName string, text []byte) (*script.Script, error) {
	f := parseFile(fileName, text)
	r := &scriptReader{
		file: f, agentSections: map[string]*section{}, stepSectionsByAgent: map[string][]namedSection{}, scriptByAgent: map[string]*script.Script{},
	}
	for _, s := range f.sectionsOfKind("agent") {
		r.agentSections[s.name] = s.section
	}
	for _, s := range f.sectionsOfKind("step") {
		agentName, _, ok := strings.Cut(s.name, "/")
		if !ok {
			agentName = ""
		}
		r.stepSectionsByAgent[agentName] = append(r.stepSectionsByAgent[agentName], s)
	}
	if !f.hasSection("program") {
		f.addProblem("program", "", "", "missing section")
	}
	parsed := r.readScript(f.section("program"), "")
	r.checkOtherAgents()
	if err := f.checkSections("read script", "[program]", `[step "NAME"]`, `[agent "NAME"]`); err != nil {
		return nil, err
	}
	return parsed, nil
}

// scriptReader builds a script and its sub-agents from the sections of a file.
type scriptReader struct {
	file *file
	// agentSections holds the [agent] sections by name.
	agentSections map[string]*section
	// stepSectionsByAgent holds the [step] sections in the order of the file; those of
	// the program are under the empty name.
	stepSectionsByAgent map[string][]namedSection
	// scriptByAgent holds the agents that have been read, by name.
	scriptByAgent map[string]*script.Script
	// activeAgents holds the agents that are being read, from the outermost to the
	// innermost; an agent that is already in it would run itself.
	activeAgents []string
}

// checkOtherAgents reads the agents that no step of the program runs, and the steps of
// agents that are missing, for the problems in them.
func (r *scriptReader) checkOtherAgents() {
	for _, agentName := range slices.Sorted(maps.Keys(r.agentSections)) {
		r.readAgentOnce(agentName)
	}
	for _, agentName := range slices.Sorted(maps.Keys(r.stepSectionsByAgent)) {
		if _, ok := r.agentSections[agentName]; agentName == "" || ok {
			continue
		}
		steps := r.stepSectionsByAgent[agentName]
		steps[0].addProblem("", "", "belongs to an agent, but the section [agent \""+agentName+"\"] is missing")
		for _, step := range steps {
			r.readStep(step)
		}
	}
}

// readScript parses the script of an agent, or of the program if agentName is empty.
func (r *scriptReader) readScript(s *section, agentName string) *script.Script {
	config := script.Config{
		Class:        s.requiredText("class", "the name of a class"),
		BudgetTokens: s.integer("budget", 0, 1, math.MaxInt64),
	}
	s.checkKeys()
	for _, step := range r.stepSectionsByAgent[agentName] {
		config.Steps = append(config.Steps, r.readStep(step))
	}
	if len(config.Steps) == 0 {
		s.addProblem("", "", "no section [step] belongs to it")
	}
	return script.New(config)
}

func (r *scriptReader) readStep(stepSection namedSection) script.Step {
	config := script.StepConfig{Name: stepSection.name[strings.Index(stepSection.name, "/")+1:]}
	action := stepSection.enum("action", script.Ask.String(), "ask", "do", "order", "pause", "agent")
	config.Action, _ = script.ParseAction(action)
	switch config.Action {
	case script.Ask:
		config.Messages = readMessages(stepSection.section)
		config.MaxTokens = stepSection.integer("max-tokens", defaultMaxTokens, 1, math.MaxInt32)
	case script.Do, script.Order:
		config.Service = stepSection.requiredText("service", "the name of a published service")
		config.Method = stepSection.requiredText("method", "a method of the service")
		config.Payload = stepSection.optionalText("payload", "{}")
	case script.Pause:
		stepSection.requiredText("wait", "a duration, such as 300ms")
		config.PauseTime = stepSection.duration("wait", 1)
	case script.Agent:
		config.Agent = r.readAgent(stepSection)
	}
	stepSection.checkKeys()
	return script.NewStep(config)
}

// readAgent parses the sub-agent that a step runs.
func (r *scriptReader) readAgent(stepSection namedSection) *script.Script {
	agentName := stepSection.requiredText("agent", "the name of an [agent] section")
	if _, ok := r.agentSections[agentName]; !ok {
		stepSection.addProblem("agent", agentName, `the name of an [agent "NAME"] section`)
		return nil
	}
	if slices.Contains(r.activeAgents, agentName) {
		stepSection.addProblem("agent", agentName, "an agent must not run itself, directly or through other agents")
		return nil
	}
	return r.readAgentOnce(agentName)
}

// readAgentOnce returns the script of an agent, which it parses at the first call.
func (r *scriptReader) readAgentOnce(agentName string) *script.Script {
	if parsed, ok := r.scriptByAgent[agentName]; ok {
		return parsed
	}
	r.activeAgents = append(r.activeAgents, agentName)
	defer func() { r.activeAgents = r.activeAgents[:len(r.activeAgents)-1] }()
	parsed := r.readScript(r.agentSections[agentName], agentName)
	r.scriptByAgent[agentName] = parsed
	return parsed
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
		s.addProblem("user", "", "missing, a step with action = ask needs at least one of system, tool, user")
	}
	return messages
}
