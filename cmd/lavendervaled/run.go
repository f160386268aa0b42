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

// settingsPathEnv is the environment variable in which the platform passes the path of the
// settings file.
const settingsPathEnv = "LAVENDERVALE_BOOT"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "path of the settings file of the process", Sources: cli.EnvVars(settingsPathEnv)}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run one process: a front, an entry or the process next to an endpoint",
		UsageText: "lavendervaled run --settings examples/settings-entry.ini",
		Flags:     []cli.Flag{settingsFlag()},
		Action:    runProcess,
	}
}

func runProcess(ctx context.Context, c *cli.Command) error {
	settings, err := inifile.ReadSettingsFile(c.String("settings"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	logger, err := newLogger(settings.LogLevel(), settings.LogFormat())
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	if front := settings.Front(); front != nil {
		return runFront(ctx, c.String("settings"), *front, logger)
	}
	config := settings.Daemon()
	config.Logger = logger
	process, err := daemon.New(config)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return process.Run(ctx)
}

// runFront runs a front until ctx is canceled. On SIGHUP it checks the settings file again.
func runFront(ctx context.Context, settingsPath string, config daemon.FrontConfig, logger *zap.Logger) error {
	config.Logger = logger
	defer func() { _ = logger.Sync() }()
	front, err := daemon.NewFront(config)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	go recheckSettingsOnHangup(ctx, settingsPath, config)
	return front.Run(ctx)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and report every error in it",
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

// recheckSettingsOnHangup reads the settings file on each SIGHUP and logs whether the store
// address, the memory limit or the grace period differ from those in use, which needs a
// restart. It changes nothing in the running process: its name and listeners stay for its
// lifetime, so that no connection is lost.
func recheckSettingsOnHangup(ctx context.Context, settingsPath string, config daemon.FrontConfig) {
	hangups := make(chan os.Signal, 1)
	// There is no signal.Stop: it would restore the default action, and a SIGHUP during the
	// shutdown would kill the process.
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := inifile.ReadSettingsFile(settingsPath)
		if err != nil {
			config.Logger.Error("can't read settings file, the settings read at start stay in use", zap.String("path", settingsPath), zap.Error(err))
			continue
		}
		next := settings.Front()
		restartNeeded := next == nil || next.StoreAddress != config.StoreAddress || next.MemoryMB != config.MemoryMB || next.GracePeriod != config.GracePeriod
		config.Logger.Info("settings read", zap.String("path", settingsPath), zap.Bool("restart_needed", restartNeeded))
	}
}
