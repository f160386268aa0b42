package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	// hangups comes first, since a process must not end at SIGHUP at all.
	hangups = notifyHangups()
	// stopped is never released: a second signal must not end a process that is stopping.
	stopped, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
)

func notifyHangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Stopped returns a context that ends at the first interrupt or SIGTERM, which its cause names.
func Stopped() context.Context { return stopped }

// Hangups returns a channel that receives a value after one or more SIGHUP.
func Hangups() <-chan os.Signal { return hangups }
