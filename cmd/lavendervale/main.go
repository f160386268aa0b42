// Command lavendervale is the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale"
)

// Exit codes of the tool.
const (
	exitFailed      = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitInDoubt     = 5
)

const exitHelp = `

EXIT CODES:
   0  done
   1  failed or refused
   2  the command line or a file is wrong
   3  conflict: another operator published in between
   4  the system does not answer
   5  in doubt: an order may have run`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs a command line and returns its exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cli.Command{
		Name:            "lavendervale",
		Usage:           "publish configuration and watch whether targets are met",
		Version:         lavendervale.Version,
		Description:     "The entry and the keys come from flags or the environment." + exitHelp,
		Writer:          out,
		ErrWriter:       errs,
		Flags:           rootFlags(),
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		HideHelpCommand: true,
		Commands: []*cli.Command{
			configCommand(), classCommand(), endpointCommand(), programCommand(), statusCommand(), dumpCommand(), traceCommand(),
		},
	}
	refuseUsage(root)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, err)
	return exitCode(err)
}

// refuseUsage gives a wrong command line its own exit code.
func refuseUsage(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err, exitInvalid)
	}
	for _, sub := range c.Commands {
		refuseUsage(sub)
	}
}

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "admin address of an entry", Sources: cli.EnvVars("LAVENDERVALE_ADMIN"), Value: "127.0.0.1:7401"},
		&cli.StringFlag{Name: "operator-key", Usage: "key of the operator", Sources: cli.EnvVars("LAVENDERVALE_OPERATOR_KEY")},
		&cli.StringFlag{Name: "entry", Usage: "caller address of an entry", Sources: cli.EnvVars("LAVENDERVALE_ENTRY"), Value: "127.0.0.1:7400"},
		&cli.StringFlag{Name: "caller-key", Usage: "key of the caller", Sources: cli.EnvVars("LAVENDERVALE_CALLER_KEY")},
		&cli.StringFlag{Name: "authorities", Usage: "file of the authorities of the entry's certificate; without it the connection is plain", Sources: cli.EnvVars("LAVENDERVALE_AUTHORITIES")},
		&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table", Validator: checkOutput},
	}
}

func checkOutput(v string) error {
	if v == "table" || v == "json" {
		return nil
	}
	return cli.Exit(fmt.Sprintf("output %q is not one of table, json", v), exitInvalid)
}

// exitCode returns the code that a script can tell errors apart by.
func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnavailable
	case connect.CodeInvalidArgument:
		return exitInvalid
	}
	return exitFailed
}
