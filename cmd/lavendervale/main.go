// Command lavendervale is the command line client for operators: it checks and publishes
// the configuration, drains endpoints, reports on targets and runs single programs.
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

// Exit codes, described in exitHelp.
const (
	exitFailed      = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitInDoubt     = 5
)

const exitHelp = `

EXIT CODES:
   0  success
   1  any other failure
   2  invalid command line or file
   3  conflict: another configuration was published in the meantime
   4  no answer from the entry
   5  in doubt: it is not known whether an order has run`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line, writes results to stdout and errors to stderr, and returns
// the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:            "lavendervale",
		Usage:           "publish the configuration and check whether programs meet their targets",
		Version:         lavendervale.Version,
		Description:     "The addresses of the entry and the keys come from flags or environment variables." + exitHelp,
		Writer:          stdout,
		ErrWriter:       stderr,
		Flags:           rootFlags(),
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		HideHelpCommand: true,
		Commands: []*cli.Command{
			configCommand(), classCommand(), endpointCommand(), programCommand(), statusCommand(), dumpCommand(), traceCommand(),
		},
	}
	setUsageExitCode(root)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	return exitCode(err)
}

// setUsageExitCode makes usage errors of a command and its subcommands exit with
// exitInvalid.
func setUsageExitCode(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err, exitInvalid)
	}
	for _, subcommand := range c.Commands {
		setUsageExitCode(subcommand)
	}
}

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "IP address and port of an entry's operator interface", Sources: cli.EnvVars("LAVENDERVALE_ADMIN"), Value: "127.0.0.1:7401"},
		&cli.StringFlag{Name: "operator-key", Usage: "key of the operator", Sources: cli.EnvVars("LAVENDERVALE_OPERATOR_KEY")},
		&cli.StringFlag{Name: "entry", Usage: "IP address and port of an entry's caller interface", Sources: cli.EnvVars("LAVENDERVALE_ENTRY"), Value: "127.0.0.1:7400"},
		&cli.StringFlag{Name: "caller-key", Usage: "key of the caller", Sources: cli.EnvVars("LAVENDERVALE_CALLER_KEY")},
		&cli.StringFlag{Name: "authorities", Usage: "PEM file of the certificate authorities that the entry's certificate is checked against; plain HTTP when not given", Sources: cli.EnvVars("LAVENDERVALE_AUTHORITIES")},
		&cli.StringFlag{Name: "output", Usage: "output format: table or json", Value: "table", Validator: validateOutput},
	}
}

func validateOutput(format string) error {
	if format == "table" || format == "json" {
		return nil
	}
	return cli.Exit(fmt.Sprintf("output %q is not one of table, json", format), exitInvalid)
}

// exitCode returns the exit code of an error: its own when it has one, else one chosen by
// its Connect code.
func exitCode(err error) int {
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
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
