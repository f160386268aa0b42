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

// newLogger returns a logger that writes lines of at least the given level to standard
// output, in the format json or console. Lines above the rate limits of package logging,
// or that standard output is too slow for, are dropped and counted.
func newLogger(level, format string) (*zap.Logger, error) {
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
	logger := zap.New(core)
	go reportDropped(logger, func() int64 { return droppedByLimit() + output.Dropped() })
	return logger, nil
}

// reportDropped logs the number of dropped lines whenever it has grown.
func reportDropped(logger *zap.Logger, droppedTotal func() int64) {
	reported := int64(0)
	for range time.Tick(droppedReportInterval) {
		if total := droppedTotal(); total > reported {
			logger.Info("lines dropped", zap.Int64("since_last", total-reported), zap.Int64("in_all", total))
			reported = total
		}
	}
}
