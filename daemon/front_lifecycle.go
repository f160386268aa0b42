package daemon

import (
	"bytes"
	"context"
	"net/http"
	"runtime/pprof"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// acceptAfterStop is how long a front that was asked to stop accepts new requests
	// whatever their deadline: the platform sends callers for two to three more seconds.
	acceptAfterStop = 3 * time.Second
	// minDrainTime is how long a front that was asked to stop keeps serving even if no
	// request is in progress, for callers that still have a connection or get one: the
	// platform stops sending new ones within two seconds.
	minDrainTime = 5 * time.Second
	// shardLoadTimeout bounds the loading of the front's own shards before it is ready.
	shardLoadTimeout = 4 * time.Second
	// peerListTimeout bounds the wait for the list of other fronts at the start;
	// minPeerWait and maxPeerWait bound the wait for gossip of half of them that follows, and
	// mostPeersWait that for mostPeersShare of them. A front that knows no other would take
	// itself for the home of all shards, and fronts that know different ones would each load
	// the same shards.
	peerListTimeout = 2 * time.Second
	minPeerWait     = 150 * time.Millisecond
	mostPeersWait   = 600 * time.Millisecond
	maxPeerWait     = 1500 * time.Millisecond
	mostPeersShare  = 0.95
	// pollInterval is the time between two checks of a condition at start and stop.
	pollInterval = 50 * time.Millisecond
	// isolatedAfter is how long the store may be unreachable until a front that has no
	// other front to relay through reports that it is not ready.
	isolatedAfter = 1500 * time.Millisecond
	// closeMargin is the part of the reserve for closing that is left for the end of the process when a
	// part of the front does not end.
	closeMargin = 1.0 / 3
	// maxStacksBytes bounds the log line about goroutines that have not ended.
	maxStacksBytes = 64 << 10
	// unregisterTimeout bounds the removal of a front that stops from the store's list.
	unregisterTimeout = 500 * time.Millisecond
)

// register adds the front to the list of fronts in the store.
func (f *Front) register(ctx context.Context) {
	if err := f.store.Register(ctx, f.config.Name, f.mesh.Address(), f.incarnation); err != nil {
		f.config.Logger.Warn("registering the front in the store failed", zap.Error(err))
	}
}

// start waits until the front knows the other fronts and loads the shards of which it will be
// the home, also when one can't be loaded. The front is ready once it knows the routes and the
// endpoints too, whose source may be away for longer than the shards.
func (f *Front) start(ctx context.Context) {
	started := time.Now()
	select {
	case <-ctx.Done():
		f.mesh.MarkSettled()
		return
	case <-f.storeWatch.PeersLoaded():
	case <-time.After(peerListTimeout):
		f.config.Logger.Warn("front starts without the list of other fronts", zap.Duration("waited", peerListTimeout))
	}
	waitForPeers(ctx, f.mesh.AliveCount, f.mesh.KnownCount)
	f.mesh.MarkSettled()
	f.loadOwnShards(ctx)
	f.mesh.MarkStarted()
	for f.routes.Table() == nil || f.directory.Len() == 0 {
		if timer.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
	f.mu.Lock()
	f.started = true
	f.mu.Unlock()
	f.config.Logger.Info("front is ready", zap.Duration("took", time.Since(started)), zap.Int("endpoints", f.directory.Len()), zap.Int("fronts", f.mesh.AliveCount()))
}

// loadOwnShards loads the shards of which the front will be the home, within
// shardLoadTimeout.
func (f *Front) loadOwnShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shardLoadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, shard := range f.mesh.OwnShards() {
		wg.Go(func() {
			if err := f.shardSet.Load(ctx, shard); err != nil {
				f.config.Logger.Warn("loading a shard of this front failed", zap.Int("shard", shard), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// waitForPeers waits at least minPeerWait, and then until mostPeersShare of the known fronts
// are alive, half of them after mostPeersWait, until maxPeerWait has passed or ctx ends.
func waitForPeers(ctx context.Context, alive, known func() int) {
	for waited := time.Duration(0); waited < maxPeerWait; waited += pollInterval {
		share := mostPeersShare
		if waited >= mostPeersWait {
			share = 0.5
		}
		if waited >= minPeerWait && float64(alive()) >= share*float64(known()) {
			return
		}
		if timer.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// ready reports whether the platform should send new callers to the front.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started || f.leaving {
		return false
	}
	return f.store.UnavailableFor() < isolatedAfter || f.mesh.AliveCount() > 0
}

// readyHandler returns the handler of readiness checks: status 200 when ready, 503 when
// not.
func (f *Front) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// exitReserve returns the part of the grace period that is reserved for closing.
func (f *Front) exitReserve() time.Duration {
	return time.Duration(exitReserveRatio * float64(f.config.GracePeriod))
}

// drain logs why the front stops, makes it report that it is not ready and gives up its shards, but keeps
// serving until minDrainTime has passed and no request is left, or until the grace
// period without its reserve has passed; while the store is away, the others need the shards
// that it holds. Then it closes the callers' connections and
// waits until the pending records are in the log.
func (f *Front) drain(cause error) {
	started := time.Now()
	drainTime := f.config.GracePeriod - f.exitReserve()
	f.gateway.Leave(started.Add(acceptAfterStop), started.Add(drainTime))
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.config.Logger.Info("front stops", zap.NamedError("cause", cause), zap.Int64("active", f.ingress.ActiveRequests()))
	f.mesh.Leave()
	f.ingress.DisableKeepAlives()
	unregisterCtx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	go func() {
		defer cancel()
		if err := f.store.Unregister(unregisterCtx, f.config.Name); err != nil {
			f.config.Logger.Warn("unregistering the front from the store failed", zap.Error(err))
		}
	}()
	for time.Since(started) < drainTime {
		if time.Since(started) > min(minDrainTime, drainTime) && f.ingress.ActiveRequests() == 0 && !f.mesh.KeepsShards() {
			break
		}
		time.Sleep(pollInterval)
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), max(0, drainTime-time.Since(started))+f.exitReserve()/3)
	defer cancelClose()
	f.ingress.Close(closeCtx)
	f.shardSet.Flush(closeCtx)
}

// awaitEnd waits until the front has ended, up to the grace period without closeMargin of its reserve.
// It logs what each goroutine waits for if the front has not ended by then.
func (f *Front) awaitEnd(ended <-chan struct{}) {
	limit := f.config.GracePeriod - time.Duration(closeMargin*float64(f.exitReserve()))
	select {
	case <-ended:
	case <-time.After(limit):
		var stacks bytes.Buffer
		if err := pprof.Lookup("goroutine").WriteTo(&stacks, 1); err != nil {
			f.config.Logger.Warn("listing goroutines failed", zap.Error(err))
		}
		f.config.Logger.Error("front has not stopped in time and ends all the same", zap.Duration("after", limit), zap.ByteString("goroutines", stacks.Next(maxStacksBytes)))
	}
}
