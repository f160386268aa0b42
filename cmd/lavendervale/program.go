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
	handle := &cli.StringFlag{Name: "handle", Required: true, Usage: "handle that the last answer gave"}
	return &cli.Command{
		Name:  "program",
		Usage: "run programs by hand",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a program and print its handle",
				UsageText: "lavendervale program start --class quote",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "class", Required: true, Usage: "class of work"},
					&cli.StringFlag{Name: "key", Usage: "idempotency key, a UUIDv7, made when not given"},
					&cli.Int64Flag{Name: "budget", Usage: "tokens it may spend, the class's when not given"},
				},
				Action: startProgram,
			},
			{
				Name: "call", Usage: "send a message, or an order, and print the answer",
				UsageText: "lavendervale program call --handle H --message 'Price 42 sacks.'\n" +
					"lavendervale program call --handle H --order payment/pay --payload '{\"amount\":5}'",
				Flags: []cli.Flag{
					handle,
					&cli.StringFlag{Name: "message", Usage: "message of the user"},
					&cli.Int64Flag{Name: "max-tokens", Value: 64, Usage: "most tokens to generate"},
					&cli.StringFlag{Name: "order", Usage: "SERVICE/METHOD to run at most once"},
					&cli.StringFlag{Name: "do", Usage: "SERVICE/METHOD that may be repeated"},
					&cli.StringFlag{Name: "payload", Value: "{}", Usage: "body of the service call"},
				},
				Action: callProgram,
			},
			{
				Name: "show", Usage: "print the state of a program",
				UsageText: "lavendervale program show --handle H", Flags: []cli.Flag{handle}, Action: showProgram,
			},
			{
				Name: "cancel", Usage: "stop a program",
				UsageText: "lavendervale program cancel --handle H", Flags: []cli.Flag{handle}, Action: cancelProgram,
			},
		},
	}
}

func startProgram(ctx context.Context, c *cli.Command) error {
	callers, err := callers(c)
	if err != nil {
		return err
	}
	key := c.String("key")
	if key == "" {
		if key, err = client.NewKey(); err != nil {
			return err
		}
	}
	p, err := callers.Start(ctx, client.StartConfig{Class: c.String("class"), Key: key, BudgetTokens: c.Int64("budget")})
	if err != nil {
		return programError(err)
	}
	value := map[string]any{"program": p.ID(), "handle": p.Handle(), "endpoint": p.Endpoint(), "budget_tokens": p.BudgetLeft()}
	return printValue(c, value, fmt.Sprintf("program %s at %s\nhandle %s", p.ID(), p.Endpoint(), p.Handle()))
}

// resume returns the program of the handle on the command line.
func resume(ctx context.Context, c *cli.Command) (*client.Program, error) {
	callers, err := callers(c)
	if err != nil {
		return nil, err
	}
	p, err := callers.Resume(ctx, c.String("handle"))
	return p, programError(err)
}

func callProgram(ctx context.Context, c *cli.Command) error {
	p, err := resume(ctx, c)
	if err != nil {
		return err
	}
	answer, err := makeCall(ctx, c, p)
	if err != nil {
		return programError(err)
	}
	value := map[string]any{
		"text": answer.Text(), "payload": string(answer.Payload()), "endpoint": answer.Endpoint(),
		"handle": p.Handle(), "budget_left_tokens": answer.BudgetLeft(), "replayed": answer.Replayed(),
	}
	return printValue(c, value, fmt.Sprintf("%s%s\nhandle %s", answer.Text(), answer.Payload(), p.Handle()))
}

func makeCall(ctx context.Context, c *cli.Command, p *client.Program) (*client.Answer, error) {
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
	return nil, cli.Exit("give one of --message, --order, --do", exitInvalid)
}

func showProgram(ctx context.Context, c *cli.Command) error {
	p, err := resume(ctx, c)
	if err != nil {
		return err
	}
	state, err := p.Get(ctx)
	if err != nil {
		return programError(err)
	}
	t := &table{header: []string{"PROGRAM", "CLASS", "STATE", "ENDPOINT", "EPOCH", "NEXT CALL", "BUDGET", "SPENT", "RESERVED", "AGE"}}
	t.add(state.GetId(), state.GetClass(), state.GetState(), state.GetEndpoint(), state.GetEpoch(), state.GetNextNumber(),
		state.GetBudgetTokens(), state.GetSpentTokens(), state.GetReservedTokens(), state.GetAge().AsDuration())
	return print(c, state, t)
}

func cancelProgram(ctx context.Context, c *cli.Command) error {
	p, err := resume(ctx, c)
	if err != nil {
		return err
	}
	if err := p.Cancel(ctx); err != nil {
		return programError(err)
	}
	return printValue(c, map[string]any{"program": p.ID(), "state": "canceled"}, "program "+p.ID()+" is canceled")
}

// programError gives an order in doubt its own exit code.
func programError(err error) error {
	var failed *client.Error
	if errors.As(err, &failed) && failed.Kind() == "in-doubt" {
		return cli.Exit(err, exitInDoubt)
	}
	return err
}
