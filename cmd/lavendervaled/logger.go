package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavendervale/lavendervale/logging"
)

// droppedReportInterval is the time between two log lines that report dropped lines.
const droppedReportInterval = 5 * time.Second

// processLog is the log of a process.
type processLog struct {
	*zap.Logger
	// output writes to standard output.
	output *logging.Writer
	// droppedByLimit returns the number of lines above the rate limits.
	droppedByLimit func() int64
	// fallback writes to standard error, which may have a reader when standard output has none.
	fallback *zap.Logger
}

// newLogger returns a logger that writes lines of at least the given level to standard
// output, in the format json or console. Lines above the rate limits of package logging,
// or that standard output is too slow for, are dropped and counted. So are those that can't be
// written, which is reported to standard error.
func newLogger(level, format string) (*processLog, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(encoderConfig)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(encoderConfig)
	}
	output := logging.NewWriter(os.Stdout)
	core, droppedByLimit := logging.NewLimitedCore(zapcore.NewCore(encoder, output, minLevel), logging.Limits{AnsweredPerSecond: logging.DefaultAnsweredPerSecond, OtherPerSecond: logging.DefaultOtherPerSecond})
	l := &processLog{
		Logger: zap.New(core), output: output, droppedByLimit: droppedByLimit,
		fallback: zap.New(zapcore.NewCore(encoder.Clone(), logging.NewWriter(os.Stderr), zapcore.ErrorLevel)),
	}
	go l.reportDropped()
	return l, nil
}

// droppedLines returns the number of lines that were dropped for any reason.
func (l *processLog) droppedLines() int64 { return l.droppedByLimit() + l.output.Dropped() }

// reportDropped logs the number of dropped lines whenever it has grown, and failed writes to
// standard error.
func (l *processLog) reportDropped() {
	reported := int64(0)
	ticks := time.Tick(droppedReportInterval)
	for {
		select {
		case err := <-l.output.Failures():
			l.fallback.Error("writing the log failed, lines are dropped", zap.Error(err), zap.Int64("in_all", l.droppedLines()))
		case <-ticks:
			if total := l.droppedLines(); total > reported {
				l.Info("lines dropped", zap.Int64("since_last", total-reported), zap.Int64("in_all", total))
				reported = total
			}
		}
	}
}
