package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
		return runFront(ctx, c.String("settings"), *front, logger)
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
func runFront(ctx context.Context, path string, c daemon.FrontConfig, logger *zap.Logger) error {
	c.Logger = logger
	defer func() { _ = logger.Sync() }()
	f, err := daemon.NewFront(c)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	go reload(ctx, path, c)
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

// reload reads the settings anew on SIGHUP and says what would change: listeners and
// names hold for the life of a process, so that no connection is lost.
func reload(ctx context.Context, path string, c daemon.FrontConfig) {
	hup := make(chan os.Signal, 1)
	// Never given back: a SIGHUP while the process stops must not end it.
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := inifile.ReadSettingsFile(path)
		if err != nil {
			c.Logger.Error("settings can't be read, the old ones hold", zap.String("path", path), zap.Error(err))
			continue
		}
		next := s.Front()
		changed := next == nil || next.StoreAddress != c.StoreAddress || next.MemoryMB != c.MemoryMB || next.GracePeriod != c.GracePeriod
		c.Logger.Info("settings read", zap.String("path", path), zap.Bool("restart_needed", changed))
	}
}
