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
	acceptAfterStop = 3 * time.Second
	// maxLeave bounds how long a process without requests waits for callers that
	// still have a connection; the platform stops sending new ones in two seconds.
	minDrainTime = 5 * time.Second
	// warmTimeout bounds the load of the own shards before a front is ready.
	shardLoadTimeout = 4 * time.Second
	// peersTimeout bounds the wait for the list of other fronts at the start, and
	// peersPause and peersWait bound the wait until half of them are heard of: a front
	// that knows no other would take all shards for its own.
	peerListTimeout = 2 * time.Second
	minPeerWait     = 150 * time.Millisecond
	maxPeerWait     = 1500 * time.Millisecond
	// readyCheck is the time between two looks whether the front is ready.
	pollInterval = 50 * time.Millisecond
	// isolated is how long neither the store nor another front may answer before the
	// front asks for no new callers.
	isolatedAfter = 1500 * time.Millisecond
	// registerTimeout bounds the entry at the end of the process.
	registerTimeout = 500 * time.Millisecond
)

// register makes the front known to the others.
func (f *Front) register(ctx context.Context) {
	if err := f.store.Register(ctx, f.config.Name, f.mesh.Address(), f.incarnation); err != nil {
		f.config.Logger.Warn("front not registered", zap.Error(err))
	}
}

// prepare loads the own shards, after which the front is ready.
func (f *Front) loadOwnShards(ctx context.Context) {
	started := time.Now()
	select {
	case <-ctx.Done():
		return
	case <-f.storeWatch.PeersKnown():
	case <-time.After(peerListTimeout):
		f.config.Logger.Warn("front starts without knowing the others", zap.Duration("waited", peerListTimeout))
	}
	for waited := time.Duration(0); waited < minPeerWait || (waited < maxPeerWait && 2*f.mesh.AliveCount() < f.mesh.KnownCount()); waited += pollInterval {
		time.Sleep(pollInterval)
	}
	for f.routes.Table() == nil || f.directory.Len() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	loadCtx, cancel := context.WithTimeout(ctx, shardLoadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, shard := range f.mesh.OwnShards() {
		wg.Go(func() {
			if err := f.homes.Load(loadCtx, shard); err != nil {
				f.config.Logger.Warn("shard not loaded", zap.Int("shard", shard), zap.Error(err))
			}
		})
	}
	wg.Wait()
	f.mesh.MarkStarted()
	f.mu.Lock()
	f.shardsLoaded = true
	f.mu.Unlock()
	f.config.Logger.Info("front is ready", zap.Duration("took", time.Since(started)), zap.Int("endpoints", f.directory.Len()), zap.Int("fronts", f.mesh.AliveCount()))
}

// ready reports whether new callers should come.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.shardsLoaded || f.leaving {
		return false
	}
	return f.store.Away() < isolatedAfter || f.mesh.AliveCount() > 0
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
func (f *Front) exitReserve() time.Duration {
	return time.Duration(exitReserveRatio * float64(f.config.GracePeriod))
}

// leave lets callers go elsewhere and serves on until none is left or the grace ends.
func (f *Front) drain() {
	started := time.Now()
	drainTime := f.config.GracePeriod - f.exitReserve()
	f.gateway.Leave(started.Add(acceptAfterStop), started.Add(drainTime))
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.config.Logger.Info("front stops", zap.Int64("active", f.ingress.Active()))
	f.mesh.Leave()
	f.ingress.Leave()
	unregisterCtx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	go func() {
		defer cancel()
		if err := f.store.Unregister(unregisterCtx, f.config.Name); err != nil {
			f.config.Logger.Warn("front not unregistered", zap.Error(err))
		}
	}()
	for time.Since(started) < drainTime {
		if time.Since(started) > min(minDrainTime, drainTime) && f.ingress.Active() == 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), max(0, drainTime-time.Since(started))+f.exitReserve()/3)
	defer cancelClose()
	f.ingress.Close(closeCtx)
	f.homes.Flush(closeCtx)
}
