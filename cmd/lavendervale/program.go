package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/program"
)

func programCommand() *cli.Command {
	handle := &cli.StringFlag{Name: "handle", Required: true, Usage: "handle from the program's last answer"}
	return &cli.Command{
		Name:  "program",
		Usage: "start, call, show and cancel single programs",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a program and print its handle",
				UsageText: "lavendervale program start --class quote",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "class", Required: true, Usage: "class of work"},
					&cli.StringFlag{Name: "key", Usage: "idempotency key, a UUIDv7 (default: a new one)"},
					&cli.Int64Flag{Name: "budget", Usage: "tokens that the program may spend (default: the budget of the class)"},
				},
				Action: startProgram,
			},
			{
				Name: "call", Usage: "call a model or a service and print the answer",
				UsageText: "lavendervale program call --handle H --message 'Price 42 sacks.'\n" +
					"lavendervale program call --handle H --order payment/pay --payload '{\"amount\":5}'",
				Flags: []cli.Flag{
					handle,
					&cli.StringFlag{Name: "message", Usage: "user message to send to the model"},
					&cli.Int64Flag{Name: "max-tokens", Value: 64, Usage: "maximum number of tokens to generate"},
					&cli.StringFlag{Name: "order", Usage: "SERVICE/METHOD to run at most once"},
					&cli.StringFlag{Name: "do", Usage: "idempotent SERVICE/METHOD to run, possibly more than once"},
					&cli.StringFlag{Name: "payload", Value: "{}", Usage: "body of the service call"},
				},
				Action: callProgram,
			},
			{
				Name: "show", Usage: "print the state of a program",
				UsageText: "lavendervale program show --handle H", Flags: []cli.Flag{handle}, Action: showProgram,
			},
			{
				Name: "cancel", Usage: "cancel a program",
				UsageText: "lavendervale program cancel --handle H", Flags: []cli.Flag{handle}, Action: cancelProgram,
			},
		},
	}
}

func startProgram(ctx context.Context, c *cli.Command) error {
	callerClient, err := newCallerClient(c)
	if err != nil {
		return err
	}
	key := c.String("key")
	if key == "" {
		if key, err = client.NewKey(); err != nil {
			return err
		}
	}
	p, err := callerClient.Start(ctx, client.StartConfig{Class: c.String("class"), Key: key, BudgetTokens: c.Int64("budget")})
	if err != nil {
		return withInDoubtExitCode(err)
	}
	result := map[string]any{"program": p.ID(), "handle": p.Handle(), "endpoint": p.Endpoint(), "budget_tokens": p.BudgetLeft()}
	return printValueOrLine(c, result, fmt.Sprintf("program %s at %s\nhandle %s", p.ID(), p.Endpoint(), p.Handle()))
}

// resumeProgram returns the program that the handle flag names.
func resumeProgram(ctx context.Context, c *cli.Command) (*client.Program, error) {
	callerClient, err := newCallerClient(c)
	if err != nil {
		return nil, err
	}
	p, err := callerClient.Resume(ctx, c.String("handle"))
	return p, withInDoubtExitCode(err)
}

func callProgram(ctx context.Context, c *cli.Command) error {
	p, err := resumeProgram(ctx, c)
	if err != nil {
		return err
	}
	answer, err := sendCall(ctx, c, p)
	if err != nil {
		return withInDoubtExitCode(err)
	}
	result := map[string]any{
		"text": answer.Text(), "payload": string(answer.Payload()), "endpoint": answer.Endpoint(),
		"handle": p.Handle(), "budget_left_tokens": answer.BudgetLeft(), "replayed": answer.Replayed(),
	}
	return printValueOrLine(c, result, fmt.Sprintf("%s%s\nhandle %s", answer.Text(), answer.Payload(), p.Handle()))
}

// sendCall makes the one call that the message, order and do flags describe.
func sendCall(ctx context.Context, c *cli.Command, p *client.Program) (*client.Answer, error) {
	payload := []byte(c.String("payload"))
	switch {
	case c.String("message") != "":
		messages := []program.Message{program.NewMessage(program.RoleUser, c.String("message"))}
		return p.Ask(ctx, messages, c.Int64("max-tokens"), nil)
	case c.String("order") != "":
		service, method, err := splitMethod(c.String("order"))
		if err != nil {
			return nil, err
		}
		return p.Order(ctx, service, method, payload)
	case c.String("do") != "":
		service, method, err := splitMethod(c.String("do"))
		if err != nil {
			return nil, err
		}
		return p.Do(ctx, service, method, payload)
	}
	return nil, cli.Exit("one of --message, --order and --do is required", exitInvalid)
}

func showProgram(ctx context.Context, c *cli.Command) error {
	p, err := resumeProgram(ctx, c)
	if err != nil {
		return err
	}
	state, err := p.Get(ctx)
	if err != nil {
		return withInDoubtExitCode(err)
	}
	t := &table{header: []string{"PROGRAM", "CLASS", "STATE", "ENDPOINT", "EPOCH", "NEXT CALL", "BUDGET", "SPENT", "RESERVED", "AGE"}}
	t.addRow(state.GetId(), state.GetClass(), state.GetState(), state.GetEndpoint(), state.GetEpoch(), state.GetNextNumber(),
		state.GetBudgetTokens(), state.GetSpentTokens(), state.GetReservedTokens(), state.GetAge().AsDuration())
	return printMessageOrTable(c, state, t)
}

func cancelProgram(ctx context.Context, c *cli.Command) error {
	p, err := resumeProgram(ctx, c)
	if err != nil {
		return err
	}
	if err := p.Cancel(ctx); err != nil {
		return withInDoubtExitCode(err)
	}
	return printValueOrLine(c, map[string]any{"program": p.ID(), "state": "canceled"}, "program "+p.ID()+" is canceled")
}

// withInDoubtExitCode adds exitInDoubt to an error that leaves the outcome of an order
// unknown; it returns other errors unchanged.
func withInDoubtExitCode(err error) error {
	var clientErr *client.Error
	if errors.As(err, &clientErr) && clientErr.Kind() == "in-doubt" {
		return cli.Exit(err, exitInDoubt)
	}
	return err
}
