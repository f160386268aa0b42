package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/daemon"
)

// settingsVariable holds the path of the settings file on the platform.
const settingsVariable = "LAVENDERVALE_BOOT"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of the process", Sources: cli.EnvVars(settingsVariable)}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run one process of the system",
		UsageText: "lavendervaled run --settings examples/settings-entry.ini",
		Flags:     []cli.Flag{settingsFlag()},
		Action:    runProcess,
	}
}

func runProcess(ctx context.Context, c *cli.Command) error {
	s, err := inifile.ReadSettingsFile(c.String("settings"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	logger, err := newLogger(s.LogLevel(), s.LogFormat())
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	if front := s.Front(); front != nil {
		return runFront(ctx, *front, logger)
	}
	config := s.Daemon()
	config.Logger = logger
	p, err := daemon.New(config)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return p.Run(ctx)
}

// runFront runs a front until ctx ends.
func runFront(ctx context.Context, c daemon.FrontConfig, logger *zap.Logger) error {
	c.Logger = logger
	f, err := daemon.NewFront(c)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return f.Run(ctx)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and name every mistake",
		UsageText: "lavendervaled check --settings examples/settings-entry.ini",
		Flags:     []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := inifile.ReadSettingsFile(c.String("settings")); err != nil {
				return cli.Exit(err, exitInvalid)
			}
			_, err := fmt.Fprintf(c.Root().Writer, "%s is valid\n", c.String("settings"))
			return err
		},
	}
}
