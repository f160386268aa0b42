package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavendervale/lavendervale/logging"
)

// droppedInterval is the time between two lines that tell how many were dropped.
const droppedInterval = 5 * time.Second

// newLogger returns a logger of a level that writes json or console lines to
// standard output.
func newLogger(level, format string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	out := logging.NewWriter(os.Stdout)
	core, dropped := logging.NewLimitedCore(zapcore.NewCore(encoder, out, l), logging.Limits{AnsweredPerSecond: logging.DefaultAnsweredPerSecond, OtherPerSecond: logging.DefaultOtherPerSecond})
	logger := zap.New(core)
	go reportDropped(logger, func() int64 { return dropped() + out.Dropped() })
	return logger, nil
}

// reportDropped tells how many lines were dropped, when some were.
func reportDropped(logger *zap.Logger, dropped func() int64) {
	before := int64(0)
	for range time.Tick(droppedInterval) {
		if n := dropped(); n > before {
			logger.Info("lines dropped", zap.Int64("since_last", n-before), zap.Int64("in_all", n))
			before = n
		}
	}
}
