package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/trail"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "follow a request, a turn or a program through the logs of all processes",
		ArgsUsage: "ID FILE...",
		UsageText: "lavendervale trace 9c41d07be2a35f68 front-*.log",
		Action:    trace,
	}
}

func trace(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return cli.Exit("an identifier and at least one log file are needed", exitInvalid)
	}
	var logs []io.Reader
	for _, path := range c.Args().Slice()[1:] {
		file, err := os.Open(path)
		if err != nil {
			return cli.Exit(err, exitInvalid)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	found, err := trail.Read(c.Args().First(), logs...)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	if found.Len() == 0 {
		return cli.Exit(fmt.Sprintf("no line names %s", c.Args().First()), exitFailed)
	}
	return found.Print(c.Root().Writer)
}
