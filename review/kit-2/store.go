package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings of DEPLOY.md give them.
const (
	recordBytes    = 262144
	callBytes      = 2097152
	partitionBytes = 200 << 20
	totalBytes     = 400 << 20
	answerTime     = 4 * time.Millisecond
	appendTime     = 2 * time.Millisecond
	appendRate     = 20 << 20
	writesPerS     = 800
	readsPerS      = 2000
)

// store is a stand-in of the platform's store in its form as a log. It loses nothing that it has
// acknowledged.
type store struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	parts   map[string]*partition
	bytes   int64
	full    int
	// window counts the calls of the second that began at windowAt; most and limited are the greatest
	// count of reads and the number of refused calls.
	windowAt      time.Time
	reads, writes int
	most, limited int
	// down is set while no call is answered or carried out.
	down bool
}

// partition is one partition of a topic; its lock makes appends one at a time.
type partition struct {
	appends sync.Mutex
	first   int64
	records [][]byte
	bytes   int64
}

// newStore serves a store on a free port of an address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), parts: map[string]*partition{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// setDown begins or ends an outage in which the store is silent.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// refusedFull returns how many appends were refused because the store is full.
func (s *store) refusedFull() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// stored returns the bytes of all records.
func (s *store) stored() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parts[topic+"/"+part]
	if !ok {
		p = &partition{}
		s.parts[topic+"/"+part] = p
	}
	return p
}

// put writes the newest record of a key, as the operator and the servers do.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.add(s.partition(topic, "0"), [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// add stores records and drops the oldest ones of a partition that is over its size.
func (s *store) add(p *partition, records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		p.records = append(p.records, r)
		p.bytes, s.bytes = p.bytes+int64(len(r)), s.bytes+int64(len(r))
	}
	for p.bytes > partitionBytes {
		s.drop(p, 1)
	}
}

// drop deletes the oldest records of a partition. s.mu must be held.
func (s *store) drop(p *partition, count int) {
	for _, r := range p.records[:count] {
		p.bytes, s.bytes = p.bytes-int64(len(r)), s.bytes-int64(len(r))
	}
	p.records, p.first = p.records[count:], p.first+int64(count)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.isDown() {
		// The call is not carried out, and its connection returns nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(answerTime)
	if s.overRate(r.Method == http.MethodPost) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	topic, part := query.Get("topic"), query.Get("part")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, topic, part, query.Get("as_of"), body)
	case "GET /api/log-read":
		s.serveRead(w, r, topic, part)
	case "GET /api/log-newest":
		s.serveNewest(w, topic, part, query.Get("after"))
	case "POST /api/log-trim":
		p := s.partition(topic, part)
		before, _ := strconv.ParseInt(query.Get("before"), 10, 64)
		s.mu.Lock()
		if n := before - p.first; n > 0 {
			s.drop(p, int(min(n, int64(len(p.records)))))
		}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// overRate counts a call and reports whether it is beyond the rates of the store.
func (s *store) overRate(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.windowAt) >= time.Second {
		s.windowAt, s.reads, s.writes = now, 0, 0
	}
	over := false
	if write {
		s.writes++
		over = s.writes > writesPerS
	} else {
		s.reads++
		over = s.reads > readsPerS
		s.most = max(s.most, s.reads)
	}
	if over {
		s.limited++
	}
	return over
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, topic, part, asOf string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 || binary.BigEndian.Uint32(rest) > recordBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[4:n:n]), rest[n:]
	}
	if len(body)-4*len(records) > callBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p := s.partition(topic, part)
	p.appends.Lock()
	defer p.appends.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/appendRate*float64(time.Second)))
	s.mu.Lock()
	end := p.first + int64(len(p.records))
	conflict := asOf != "" && asOf != strconv.FormatInt(end, 10)
	full := !conflict && s.bytes+int64(len(body)) > totalBytes
	if full {
		s.full++
	}
	s.mu.Unlock()
	switch {
	case conflict:
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
	case full:
		answer(w, http.StatusInsufficientStorage, map[string]any{})
	default:
		s.add(p, records)
		answer(w, http.StatusOK, map[string]int64{"offset": end, "end": end + int64(len(records))})
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic, part string) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	most, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		most = 1024
	}
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	p := s.partition(topic, part)
	for until := time.Now().Add(time.Duration(min(waitMS, 30000)) * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		available := p.first+int64(len(p.records)) > from
		s.mu.Unlock()
		if available || r.Context().Err() != nil {
			break
		}
	}
	s.mu.Lock()
	first, records := p.first, slices.Clone(p.records)
	s.mu.Unlock()
	if from < first {
		answer(w, http.StatusGone, map[string]int64{"first": first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(first+int64(len(records))))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i := from - first; i < int64(len(records)); i++ {
		if i > from-first && len(out)+len(records[i]) > most<<10 {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(records[i]))), records[i]...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, topic, part, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	p := s.partition(topic, part)
	s.mu.Lock()
	newest := map[string]item{}
	for i, r := range p.records {
		key := string(r[1 : 1+int(r[0])])
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(r[1+len(key):]), Offset: p.first + int64(i)}
		if len(r) == 1+len(key) {
			delete(newest, key)
		}
	}
	end := p.first + int64(len(p.records))
	s.mu.Unlock()
	items := []item{}
	for key, i := range newest {
		if key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := items[:min(len(items), 500)]
	answer(w, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(items), "end": end})
}
