package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["lateentry"] = playLateEntry }

const (
	// lateentryServers is the number of servers; one of them (a share of 0.2) is disrupted.
	lateentryServers = 5
	// lateentryStreams is the number of streams that begin at each front before the server crashes.
	lateentryStreams = 10
	// lateentryAway is how long the server is away after its crash, and lateentryCut how long it is cut off
	// from the store: less than three heartbeats of 1.2 s, after which its entry would be removed.
	lateentryAway, lateentryCut = 150 * time.Millisecond, 3 * time.Second
	// lateentryRounds is how often this happens, each lateentryPause after the cut has ended.
	lateentryRounds, lateentryPause = 4, 5 * time.Second
	// lateentryEvents is the length of a stream, one event each lateentryGap.
	lateentryEvents, lateentryGap = 22, 60 * time.Millisecond
)

// versionedServer is a model server that comes back under its id, at its address, with another software
// version. The data of each event names the version that made it.
type versionedServer struct {
	id      string
	address string
	mu      sync.Mutex
	version int
	conns   map[net.Conn]bool
	server  *http.Server
	ran     atomic.Int64
}

// begin starts an incarnation at the address.
func (v *versionedServer) begin(version int) error {
	address := v.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.address, v.version, v.conns = listener.Addr().String(), version, map[net.Conn]bool{}
	v.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { v.serve(version, out, r) }), ConnState: func(c net.Conn, state http.ConnState) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if state == http.StateNew {
			v.conns[c] = true
		} else if state == http.StateClosed {
			delete(v.conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(listener) }(v.server)
	return nil
}

// crash resets all connections.
func (v *versionedServer) crash() {
	v.mu.Lock()
	for c := range v.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	server := v.server
	v.mu.Unlock()
	_ = server.Close()
}

func (v *versionedServer) serve(version int, out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		h.Set("Instance-Id", v.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	v.ran.Add(1)
	h.Set("Response-Stamp", "stamp-"+v.id)
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= lateentryEvents; n++ {
		select {
		case <-time.After(lateentryGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: word-%d of software v%d\n\n", n, n, version); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

var madeBy = regexp.MustCompile(`of software (v\d+)`)

// follow reads a stream and takes it up again as the pages say until it is whole or its time is over. It
// returns the versions that made its events, in their order.
func follow(r *record, f *front, name string) []string {
	var versions []string
	last, first := 0, ""
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) && last < lateentryEvents {
		id := newID("s")
		ctx, cancel := context.WithDeadline(context.Background(), end)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/tally/1", strings.NewReader("a prompt"))
		if err != nil {
			cancel()
			return versions
		}
		request.Host = host
		request.Header.Set("Request-Id", id)
		request.Header.Set("Token-Usage", "700,290")
		request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
		if last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(last))
			request.Header.Set("Resumes", first)
		}
		transport := &http.Transport{DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		if err != nil {
			cancel()
			r.line("%s, attempt %s after event %d: %v", name, id, last, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		from := last
		lines := bufio.NewScanner(response.Body)
		number := 0
		for response.StatusCode == http.StatusOK && lines.Scan() {
			if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				number, _ = strconv.Atoi(text)
			}
			if m := madeBy.FindStringSubmatch(lines.Text()); m != nil {
				last = number
				if first == "" {
					first = id
				}
				if n := len(versions); n == 0 || versions[n-1] != m[1] {
					versions = append(versions, m[1])
				}
			}
		}
		r.line("%s, attempt %s after event %d: status %d, events up to %d, made by %v so far", name, id, from, response.StatusCode, last, versions)
		_ = response.Body.Close()
		cancel()
		if last < lateentryEvents {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return versions
}

// playLateEntry has a server that is cut off from the store, but not from the fronts, crash and come back
// under its id with another software version, while streams run there. Without trouble it comes back with
// the version that it had.
func playLateEntry(r *record, trouble bool) (bool, error) {
	s, err := open(r, 300*time.Second)
	if err != nil {
		return false, err
	}
	s.configure(1, []map[string]any{{
		"name": "tally", "hostname": host, "path_prefix": "/tally/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2,
		"service": "engines", "max_attempts": 1, "stateful": false, "retention_s": 60, "sticky": true, "resumable": true, "gap_aim_ms": 150,
	}}, []map[string]any{engineService("engines")})
	var servers []*versionedServer
	var mu sync.Mutex
	entries := map[string]map[string]any{}
	announce := func(v *versionedServer, born int64) {
		mu.Lock()
		defer mu.Unlock()
		seq := 1
		if e := entries[v.id]; e != nil && e["born"] == born {
			seq = e["seq"].(int) + 1
		}
		v.mu.Lock()
		entries[v.id] = map[string]any{"service": "engines", "address": v.address, "zone": "a", "version": fmt.Sprintf("v%d", v.version), "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born}
		v.mu.Unlock()
		s.store.put("keyed.servers", v.id, entries[v.id])
	}
	born := map[string]*atomic.Int64{}
	stop := make(chan struct{})
	s.closers = append(s.closers, func() { close(stop) })
	for i := range lateentryServers {
		v := &versionedServer{id: fmt.Sprintf("i-%d", i+1)}
		if err := v.begin(1); err != nil {
			return false, err
		}
		s.closers = append(s.closers, v.crash)
		servers = append(servers, v)
		born[v.id] = &atomic.Int64{}
		born[v.id].Store(time.Now().UnixMilli())
		announce(v, born[v.id].Load())
	}
	// cut is set while the first server is cut off from the store.
	var cut atomic.Bool
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for i, v := range servers {
				if i > 0 || !cut.Load() {
					announce(v, born[v.id].Load())
				}
			}
		}
	}()
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := s.addFront(name, "a"); err != nil {
			return false, err
		}
	}
	for _, f := range s.fronts {
		if err := f.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	joined, all := 0, 0
	version := 1
	for round := range lateentryRounds {
		var streams sync.WaitGroup
		results := make([][]string, 2*lateentryStreams)
		for i := range results {
			streams.Add(1)
			go func() {
				defer streams.Done()
				results[i] = follow(r, s.fronts[i%2], fmt.Sprintf("stream %d of round %d", i+1, round+1))
			}()
		}
		time.Sleep(500 * time.Millisecond)
		announce(servers[0], born["i-1"].Load())
		cut.Store(true)
		cutAt := time.Now()
		r.say("round %d: i-1 of version v%d is cut off from the store and crashes", round+1, version)
		servers[0].crash()
		time.Sleep(lateentryAway)
		if trouble {
			version++
		}
		if err := servers[0].begin(version); err != nil {
			return false, err
		}
		born["i-1"].Store(time.Now().UnixMilli())
		r.line("i-1 is back with version v%d", version)
		time.Sleep(time.Until(cutAt.Add(lateentryCut)))
		cut.Store(false)
		announce(servers[0], born["i-1"].Load())
		r.line("the cut has ended, and i-1 has written its entry")
		streams.Wait()
		for i, versions := range results {
			all++
			if len(versions) > 1 {
				joined++
				r.line("stream %d of round %d holds events of %v", i+1, round+1, versions)
			}
		}
		time.Sleep(lateentryPause)
	}
	for _, f := range s.fronts {
		f.warnings(r, 10)
	}
	r.say("%d of %d streams hold events of two software versions; two are allowed", joined, all)
	return joined > 2, nil
}
