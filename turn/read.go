package turn

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// readRetryDelay is the time after a failed read of a shard in which no other one
	// begins. For loads it doubles with each further failure up to maxLoadRetryDelay.
	readRetryDelay    = 50 * time.Millisecond
	maxLoadRetryDelay = 400 * time.Millisecond
	// maxPageReads bounds the reads of one page that are under way at the same time.
	maxPageReads = 3
)

// loadReason says in the log what a shard is loaded for.
type loadReason string

// Reasons to load a shard.
const (
	loadForStart    loadReason = "start"
	loadForBegin    loadReason = "begin"
	loadForEnd      loadReason = "end"
	loadForFind     loadReason = "find"
	loadForAppend   loadReason = "append"
	loadForReplicas loadReason = "replicas"
)

// logRead is a read of a shard to its end. It belongs to none of the requests that wait
// for it, so it neither ends with one of them nor begins anew for the next.
type logRead struct {
	// done is closed at the end; err is set before.
	done chan struct{}
	err  error
	// waiting counts the callers that wait for a load; lastErr is why its last try failed.
	// The mutex of the shard guards both.
	waiting int
	lastErr error
}

func newLogRead() *logRead { return &logRead{done: make(chan struct{})} }

// finish reports the outcome to all that wait.
func (r *logRead) finish(err error) {
	r.err = err
	close(r.done)
}

// wait returns the outcome, or an error of KindUnavailable when ctx ends first.
func (r *logRead) wait(ctx context.Context, shard int) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return Errorf("read shard", KindUnavailable, "shard %d was not read in time: %w", shard, ctx.Err())
	}
}

// ensureLoaded waits until the shard was read to its end, unless it was before. All
// callers share one load, which is tried again while any of them waits. The reason is
// logged.
func (s *shard) ensureLoaded(ctx context.Context, reason loadReason) error {
	s.mu.Lock()
	s.lastUsedAt = time.Now()
	if s.loaded {
		s.mu.Unlock()
		return nil
	}
	if s.load == nil {
		s.load = newLogRead()
		go s.runLoad(s.load, reason)
	}
	load := s.load
	load.waiting++
	s.mu.Unlock()
	err := load.wait(ctx, s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	load.waiting--
	if err != nil && load.lastErr != nil {
		err = Errorf("load shard", KindUnavailable, "%w; the last read failed: %w", err, load.lastErr)
	}
	return err
}

// runLoad tries to load the shard until it succeeds or nobody waits for it.
func (s *shard) runLoad(load *logRead, reason loadReason) {
	for delay := readRetryDelay; ; delay = min(2*delay, maxLoadRetryDelay) {
		err := s.tryLoad(reason)
		s.mu.Lock()
		load.lastErr = err
		if err == nil || load.waiting == 0 {
			s.load = nil
			load.finish(err)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(delay/2 + rand.N(delay))
	}
}

// tryLoad reads the shard to its end and queues the replicas of its records that other
// processes hold.
func (s *shard) tryLoad(reason loadReason) error {
	started := time.Now()
	err := s.readPages()
	var replicas [][]byte
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), s.set.config.LogTimeout)
		replicas = s.set.config.Replicator.Replicas(ctx, s.number)
		cancel()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := []zap.Field{
		zap.Int("shard", s.number), zap.String("for", string(reason)), zap.Bool("home", s.set.config.IsHome(s.number)),
		zap.Int64("end", s.nextOffset), zap.Int64("bytes", s.bytesRead), zap.Duration("took", time.Since(started)),
	}
	if err != nil {
		s.set.config.Logger.Warn("shard not loaded", append(fields, zap.Error(err))...)
		return err
	}
	s.loaded = true
	for _, data := range replicas {
		s.submitReplica(data)
	}
	s.set.config.Logger.Info("shard loaded", append(fields, zap.Int("turns", len(s.state.turns)), zap.Int("copies", len(replicas)))...)
	return nil
}

// readToEnd waits for a read to the end of the shard that begins after the call. All
// callers that wait for the end of the same earlier read share the next one.
func (s *shard) readToEnd(ctx context.Context) error {
	s.mu.Lock()
	if s.nextRead == nil {
		s.nextRead = newLogRead()
	}
	read := s.nextRead
	if !s.reading {
		s.reading = true
		go s.readWhileAwaited()
	}
	s.mu.Unlock()
	return read.wait(ctx, s.number)
}

// readWhileAwaited reads the shard to its end until nothing waits for another read. At
// most one readWhileAwaited runs for a shard.
func (s *shard) readWhileAwaited() {
	for {
		s.mu.Lock()
		read := s.nextRead
		s.nextRead = nil
		if read == nil {
			s.reading = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.readPages()
		read.finish(err)
		if err != nil {
			time.Sleep(readRetryDelay)
		}
	}
}

// readPages reads the log from nextOffset to its end and applies the records. Trimmed
// records are skipped. What was applied before an error stays applied.
func (s *shard) readPages() error {
	for {
		s.mu.Lock()
		offset := s.nextOffset
		s.mu.Unlock()
		started := time.Now()
		page, err := s.readPage(offset)
		if err != nil && KindOf(err) == KindExpired && page.FirstOffset > offset {
			s.mu.Lock()
			s.nextOffset = max(s.nextOffset, page.FirstOffset)
			s.mu.Unlock()
			continue
		}
		if err != nil && KindOf(err) == KindExpired {
			return Errorf("read shard", KindUnavailable, "shard %d begins at %d: %w", s.number, page.FirstOffset, err)
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && page.NextOffset > offset {
			return Errorf("read shard", KindUnavailable, "shard %d ends at %d, but no record was sent from %d on", s.number, page.NextOffset, offset)
		}
		s.mu.Lock()
		for _, record := range page.Records {
			s.bytesRead += int64(len(record))
		}
		s.applyRecords(offset, page.Records)
		atEnd := s.nextOffset >= page.NextOffset
		if atEnd {
			s.syncedTo(started)
		}
		s.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// pageResult is the outcome of one read of a page.
type pageResult struct {
	page Page
	err  error
}

// readPage reads one page of the log. While none of the reads under way has ended after
// Config.ReadTimeout, it begins another one beside them, up to maxPageReads: a read on a
// silent connection never ends, and one of a slow log must not begin anew. An error counts
// only once no other read is under way.
func (s *shard) readPage(offset int64) (Page, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxPageReads*s.set.config.ReadTimeout)
	defer cancel()
	results := make(chan pageResult, maxPageReads)
	begin := func() {
		page, err := s.set.config.Log.Read(ctx, s.number, offset)
		results <- pageResult{page: page, err: err}
	}
	go begin()
	begun, pending := 1, 1
	timer := time.NewTimer(s.set.config.ReadTimeout)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || KindOf(r.err) == KindExpired || pending == 0 {
				return r.page, r.err
			}
		case <-timer.C:
			if begun < maxPageReads {
				begun++
				pending++
				go begin()
				timer.Reset(s.set.config.ReadTimeout)
			}
		}
	}
}
