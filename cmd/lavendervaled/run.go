package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/signals"
	"github.com/lavendervale/lavendervale/timer"
)

// settingsPathEnv is the environment variable in which the platform passes the path of the
// settings file.
const settingsPathEnv = "LAVENDERVALE_BOOT"

const (
	// settingsTimeout bounds the wait at the start for settings that are valid.
	settingsTimeout = 5 * time.Second
	// settingsRetryInterval is the time between two tries to read them.
	settingsRetryInterval = 50 * time.Millisecond
)

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

// runProcess runs a process until ctx is canceled. On SIGHUP it checks the settings file again.
func runProcess(ctx context.Context, c *cli.Command) error {
	// A write to standard output or error without a reader raises SIGPIPE, which would kill the process.
	signal.Ignore(syscall.SIGPIPE)
	settings, err := awaitSettings(ctx, c.String("settings"), os.Stderr)
	if ctx.Err() != nil && settings == nil {
		fmt.Fprintln(os.Stderr, err)
		return nil
	}
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	logger, err := newLogger(settings.LogLevel(), settings.LogFormat())
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	// Standard error blocks when its reader does not read.
	zap.RedirectStdLog(logger.Logger)
	go recheckSettings(ctx, signals.Hangups(), c.String("settings"), settings, logger.Logger)
	defer func() { _ = logger.Sync() }()
	process, err := open(ctx, settings, logger)
	if ctx.Err() != nil && process == nil {
		logger.Info("process stops before its start", zap.NamedError("cause", context.Cause(ctx)))
		return nil
	}
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return process.Run(ctx)
}

// awaitSettings reads a settings file. While it is missing or invalid, for instance because it is
// being written, awaitSettings tries again until settingsTimeout has passed or ctx ends. It
// reports the first error to errOutput at once.
func awaitSettings(ctx context.Context, path string, errOutput io.Writer) (*inifile.Settings, error) {
	for started, reported := time.Now(), false; ; {
		settings, err := inifile.ReadSettingsFile(path)
		if err == nil || time.Since(started) >= settingsTimeout {
			return settings, err
		}
		if !reported {
			fmt.Fprintf(errOutput, "can't read the settings yet, trying for %s: %v\n", settingsTimeout, err)
			reported = true
		}
		if timer.Sleep(ctx, settingsRetryInterval) != nil {
			return nil, fmt.Errorf("stopped before the settings could be read: %w", context.Cause(ctx))
		}
	}
}

// runner is a process with its listeners open.
type runner interface {
	Run(ctx context.Context) error
}

// open opens the listeners of a process. It returns nil if ctx ends before.
func open(ctx context.Context, settings *inifile.Settings, logger *processLog) (runner, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if front := settings.Front(); front != nil {
		config := *front
		config.Logger, config.DroppedLines = logger.Logger, logger.droppedLines
		process, err := daemon.OpenFront(ctx, config)
		if err != nil {
			return nil, err
		}
		return process, nil
	}
	config := settings.Daemon()
	config.Logger, config.DroppedLines = logger.Logger, logger.droppedLines
	process, err := daemon.Open(ctx, config)
	if err != nil {
		return nil, err
	}
	return process, nil
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

// recheckSettings reads the settings file on each hangup and logs whether it differs from the
// settings in use, which needs a restart. It changes nothing in the running process: its name
// and listeners stay for its lifetime, so that no connection is lost.
func recheckSettings(ctx context.Context, hangups <-chan os.Signal, path string, inUse *inifile.Settings, logger *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := inifile.ReadSettingsFile(path)
		if err != nil {
			logger.Error("can't read settings file, the settings read at start stay in use", zap.String("path", path), zap.Error(err))
			continue
		}
		logger.Info("settings read", zap.String("path", path), zap.Bool("restart_needed", !next.Equal(inUse)))
	}
}
