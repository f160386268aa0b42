package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// leaveServe is how long after a request to stop new requests are taken as before:
	// the platform goes on sending callers for two to three seconds.
	leaveServe = 3 * time.Second
	// maxLeave bounds how long a process without requests waits for callers that
	// still have a connection; the platform stops sending new ones in two seconds.
	maxLeave = 5 * time.Second
	// warmTimeout bounds the load of the own shards before a front is ready.
	warmTimeout = 4 * time.Second
	// peersTimeout bounds the wait for the list of other fronts at the start, and
	// peersPause and peersWait bound the wait until half of them are heard of: a front
	// that knows no other would take all shards for its own.
	peersTimeout = 2 * time.Second
	peersPause   = 150 * time.Millisecond
	peersWait    = 1500 * time.Millisecond
	// readyCheck is the time between two looks whether the front is ready.
	readyCheck = 50 * time.Millisecond
	// isolated is how long neither the store nor another front may answer before the
	// front asks for no new callers.
	isolated = 1500 * time.Millisecond
	// registerTimeout bounds the entry at the end of the process.
	registerTimeout = 500 * time.Millisecond
)

// register makes the front known to the others.
func (f *Front) register(ctx context.Context) {
	if err := f.store.Register(ctx, f.config.Name, f.mesh.Address(), f.number); err != nil {
		f.config.Logger.Warn("front not registered", zap.Error(err))
	}
}

// prepare loads the own shards, after which the front is ready.
func (f *Front) prepare(ctx context.Context) {
	started := time.Now()
	select {
	case <-ctx.Done():
		return
	case <-f.watch.PeersLoaded():
	case <-time.After(peersTimeout):
		f.config.Logger.Warn("front starts without knowing the others", zap.Duration("waited", peersTimeout))
	}
	for waited := time.Duration(0); waited < peersPause || (waited < peersWait && 2*f.mesh.Alive() < f.mesh.Known()); waited += readyCheck {
		time.Sleep(readyCheck)
	}
	for f.routes.Table() == nil || f.directory.Len() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyCheck):
		}
	}
	load, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, shard := range f.mesh.Own() {
		all.Go(func() {
			if err := f.homes.Load(load, shard); err != nil {
				f.config.Logger.Warn("shard not loaded", zap.Int("shard", shard), zap.Error(err))
			}
		})
	}
	all.Wait()
	f.mesh.Started()
	f.mu.Lock()
	f.warm = true
	f.mu.Unlock()
	f.config.Logger.Info("front is ready", zap.Duration("took", time.Since(started)), zap.Int("endpoints", f.directory.Len()), zap.Int("fronts", f.mesh.Alive()))
}

// ready reports whether new callers should come.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm || f.leaving {
		return false
	}
	return f.store.UnavailableFor() < isolated || f.mesh.Alive() > 0
}

func (f *Front) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// margin is what is kept of the grace for the end of the process.
func (f *Front) margin() time.Duration {
	return time.Duration(graceMargin * float64(f.config.Grace))
}

// leave lets callers go elsewhere and serves on until none is left or the grace ends.
func (f *Front) leave() {
	started := time.Now()
	grace := f.config.Grace - f.margin()
	f.gateway.Leave(started.Add(leaveServe), started.Add(grace))
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.config.Logger.Info("front stops", zap.Int64("active", f.ingress.ActiveRequests()))
	f.mesh.Leave()
	f.ingress.DisableKeepAlives()
	unregister, cancel := context.WithTimeout(context.Background(), registerTimeout)
	go func() {
		defer cancel()
		if err := f.store.Unregister(unregister, f.config.Name); err != nil {
			f.config.Logger.Warn("front not unregistered", zap.Error(err))
		}
	}()
	for time.Since(started) < grace {
		if time.Since(started) > min(maxLeave, grace) && f.ingress.ActiveRequests() == 0 {
			break
		}
		time.Sleep(readyCheck)
	}
	stop, done := context.WithTimeout(context.Background(), max(0, grace-time.Since(started))+f.margin()/3)
	defer done()
	f.ingress.Close(stop)
	f.homes.Flush(stop)
}
