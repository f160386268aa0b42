package script

import (
	"context"

	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/timer"
)

// StepResult is the result of one step.
type StepResult struct {
	// Depth is 0 for steps of the program itself and one more for each level of
	// sub-agents.
	Depth int
	// StepName is the name of the step.
	StepName string
	// Action is what the step did.
	Action Action
	// Class is the name of the class of the program or sub-agent.
	Class string
	// Endpoint is the name of the instance that ran the call, empty when none did.
	Endpoint string
	// Timing holds the durations of the call. For Pause, Total is the configured time.
	Timing program.Timing
	// Usage counts the tokens of a model call.
	Usage program.Usage
	// BudgetLeft is the number of tokens that the program may still spend after the step.
	BudgetLeft int64
	// Text is the text of a model or the payload of a service.
	Text string
	// Err is why the step failed, or nil.
	Err error
}

// Report is the result of a script.
type Report struct {
	// ProgramID is the ID of the program, empty when it did not start.
	ProgramID string
	// Results holds the result of each step in the order of their ends, including the
	// steps of sub-agents.
	Results []StepResult
	// Summary holds the totals of the finished program, zero when Err is set.
	Summary client.Summary
	// Err is why the script failed, or nil.
	Err error
}

// Run runs a script with a client. The first failing step cancels the program and ends the
// script.
func Run(ctx context.Context, c *client.Client, s *Script) *Report {
	r := &Report{}
	key, err := client.NewKey()
	if err != nil {
		r.Err = err
		return r
	}
	p, err := c.Start(ctx, client.StartConfig{Class: s.Class(), Key: key, BudgetTokens: s.BudgetTokens()})
	if err != nil {
		r.Err = err
		return r
	}
	r.ProgramID = p.ID()
	u := &runner{report: r}
	r.Summary, r.Err = u.runScript(ctx, p, s, 0)
	return r
}

// runner runs a script and its sub-agents, and collects their results.
type runner struct {
	report *Report
}

// runScript runs the steps of s in program p and finishes it. When a step fails it cancels
// the program.
func (u *runner) runScript(ctx context.Context, p *client.Program, s *Script, depth int) (client.Summary, error) {
	for _, step := range s.Steps() {
		if err := u.runStep(ctx, p, s, step, depth); err != nil {
			_ = p.Cancel(ctx)
			return client.Summary{}, err
		}
	}
	return p.Finish(ctx)
}

// runStep runs one step and adds its result to the report. The steps of a sub-agent add
// their own results.
func (u *runner) runStep(ctx context.Context, p *client.Program, s *Script, step Step, depth int) error {
	result := StepResult{Depth: depth, StepName: step.Name(), Action: step.Action(), Class: s.Class(), BudgetLeft: p.BudgetLeft()}
	c := step.config
	var answer *client.Answer
	switch step.Action() {
	case Ask:
		answer, result.Err = p.Ask(ctx, c.Messages, c.MaxTokens, nil)
	case Do:
		answer, result.Err = p.Do(ctx, c.Service, c.Method, []byte(c.Payload))
	case Order:
		answer, result.Err = p.Order(ctx, c.Service, c.Method, []byte(c.Payload))
	case Pause:
		result.Timing.Total = c.PauseTime
		result.Err = timer.Sleep(ctx, c.PauseTime)
	case Agent:
		return u.runAgent(ctx, p, c.Agent, depth+1)
	}
	if answer != nil {
		result.setAnswer(answer)
	}
	u.report.Results = append(u.report.Results, result)
	return result.Err
}

// setAnswer copies the content of an answer to the result.
func (r *StepResult) setAnswer(a *client.Answer) {
	r.Endpoint = a.Endpoint()
	r.Timing = a.Timing()
	r.Usage = a.Usage()
	r.BudgetLeft = a.BudgetLeft()
	r.Text = a.Text() + string(a.Payload())
}

// runAgent runs a sub-agent as a child program to its end. It then reads the parent's state,
// because the child changed the parent's budget.
func (u *runner) runAgent(ctx context.Context, parent *client.Program, s *Script, depth int) error {
	key, err := client.NewKey()
	if err != nil {
		return err
	}
	child, err := parent.StartChild(ctx, client.StartConfig{Class: s.Class(), Key: key, BudgetTokens: s.BudgetTokens()})
	if err != nil {
		u.report.Results = append(u.report.Results, StepResult{Depth: depth, StepName: "start", Action: Agent, Class: s.Class(), Err: err})
		return err
	}
	if _, err := u.runScript(ctx, child, s, depth); err != nil {
		return err
	}
	_, err = parent.Get(ctx)
	return err
}
