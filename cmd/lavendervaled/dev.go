package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/examples"
	"github.com/lavendervale/lavendervale/script"
	"github.com/lavendervale/lavendervale/signals"
)

const (
	// devEngines is the number of simulated model engines.
	devEngines = 3
	// devDomains is the number of failure domains that the processes are spread over.
	devDomains = 3
	// clusterReadyTimeout limits the wait for the started cluster to become ready.
	clusterReadyTimeout = 20 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run a cluster on loopback with a simulated platform, engines and services",
		UsageText: "lavendervaled dev --program examples/quote.ini --exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "script file of an agent program to run"},
			&cli.StringFlag{Name: "configuration", Usage: "file of the first configuration (default: a built-in example)"},
			&cli.BoolFlag{Name: "exit", Usage: "exit after the program has finished"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "minimum log level: debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	configurationText, err := readDevConfiguration(c.String("configuration"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	configuration, err := inifile.ReadConfiguration("configuration", configurationText)
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	agentScript, err := readDevScript(c.String("program"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	logger, err := newLogger(c.String("log-level"), "console")
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	cluster, err := dev.Start(dev.Config{
		Configuration: string(configurationText), Engines: devEngines, Domains: devDomains,
		Services: []string{"payment"}, Logger: logger.Logger,
	})
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	defer cluster.Close()
	readyCtx, cancel := context.WithTimeout(ctx, clusterReadyTimeout)
	defer cancel()
	if err := cluster.WaitReady(readyCtx); err != nil {
		return cli.Exit(err, exitFailed)
	}
	rankOf := func(name string) string {
		if class, ok := configuration.Class(name); ok {
			return class.Rank().String()
		}
		return "-"
	}
	if err := runScript(ctx, cluster, agentScript, rankOf); err != nil || c.Bool("exit") {
		return err
	}
	printClusterInfo(os.Stdout, cluster)
	select {
	case <-ctx.Done():
	case <-signals.Hangups():
	}
	return nil
}

// readDevConfiguration returns the text of the configuration file, or the built-in example
// when path is empty.
func readDevConfiguration(path string) ([]byte, error) {
	if path == "" {
		return examples.Files.ReadFile("configuration.ini")
	}
	return os.ReadFile(path)
}

// readDevScript returns the script in the file, or nil when path is empty.
func readDevScript(path string) (*script.Script, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return inifile.ReadScript(path, text)
}

// runScript runs the script through the first entry and prints its report. It fails with
// exitFailed when a step failed or the program missed its target, and does nothing when
// the script is nil.
func runScript(ctx context.Context, cluster *dev.Cluster, agentScript *script.Script, rankOf script.RankFunc) error {
	if agentScript == nil {
		return nil
	}
	report := script.Run(ctx, cluster.Client("entry-1"), agentScript)
	if err := report.Print(os.Stdout, rankOf); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if !report.Passed() {
		return cli.Exit("the program failed or missed its target", exitFailed)
	}
	return nil
}

// printClusterInfo prints the addresses and keys for callers and operators, and an example
// request.
func printClusterInfo(w io.Writer, cluster *dev.Cluster) {
	addresses := cluster.Addresses("entry-1")
	fmt.Fprintf(w, `
callers    http://%s   key %s
operators  http://%s   key %s

example:

  curl -s http://%s/lavendervale.v1.ProgramService/Start \
    -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
    -d '{"class":"quote","key":"01942d5c-0000-7000-8000-000000000001"}'
`, addresses.Callers, cluster.CallerKey(), addresses.Admin, cluster.OperatorKey(), addresses.Callers, cluster.CallerKey())
}
