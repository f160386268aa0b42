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
		Usage:     "print the log lines about one request, turn or program from the logs of all processes",
		ArgsUsage: "ID FILE...",
		UsageText: "lavendervale trace 9c41d07be2a35f68 front-*.log",
		Action:    traceIdentifier,
	}
}

// traceIdentifier prints the lines about the identifier in the first argument from the log
// files in the other arguments.
func traceIdentifier(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return cli.Exit("an ID and at least one log FILE are required", exitInvalid)
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
	matches, err := trail.Read(c.Args().First(), logs...)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	if matches.Len() == 0 {
		return cli.Exit(fmt.Sprintf("no log line contains the identifier %s", c.Args().First()), exitFailed)
	}
	return matches.Print(c.Root().Writer)
}
