// Command lavendervaled is the daemon: it runs one process of the system (a front, an entry
// or the process beside an endpoint), or a whole cluster on loopback for development.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/signals"
)

const (
	// exitFailed is the exit code of any failure that has no other code.
	exitFailed = 1
	// exitInvalid is the exit code for an invalid command line or file.
	exitInvalid = 2
)

func main() {
	os.Exit(run(signals.Stopped(), os.Args))
}

// run executes a command line and returns its exit code.
func run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:            "lavendervaled",
		Usage:           "schedule agent programs over model endpoints",
		Commands:        []*cli.Command{devCommand(), runCommand(), checkCommand()},
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		HideHelpCommand: true,
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err, exitInvalid)
		}
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return exitFailed
}
