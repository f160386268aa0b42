package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The figures of the platform's store, as in the settings of a process.
const (
	storeAnswer     = 4 * time.Millisecond
	appendTime      = 2 * time.Millisecond
	appendBytesPerS = 20 << 20
	maxRecordBytes  = 262144
	maxCallBytes    = 2097152
	recordLifetime  = 300 * time.Second
	maxPartBytes    = 200 << 20
	maxTotalBytes   = 400 << 20
	writesPerSecond = 800
	readsPerSecond  = 2000
)

// logStore is a stand-in of the platform's store: a log with keyed topics.
type logStore struct {
	server *http.Server
	addr   string
	mu     sync.Mutex
	parts  map[string]*logPart
	total  int
	// calls counts the calls by path and status.
	calls  map[string]int
	window time.Time
	writes int
	reads  int
}

type logPart struct {
	mu      sync.Mutex
	first   int64
	records []logRecord
	bytes   int
	grown   chan struct{}
}

type logRecord struct {
	data []byte
	at   time.Time
}

func newLogStore() (*logStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &logStore{addr: l.Addr().String(), parts: map[string]*logPart{}, calls: map[string]int{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *logStore) part(topic, number string) *logPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + number
	p, ok := s.parts[key]
	if !ok {
		p = &logPart{grown: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

// admit counts a call against the rates of the store.
func (s *logStore) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.window, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerSecond
	}
	s.reads++
	return s.reads <= readsPerSecond
}

func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswer)
	status := s.serve(w, r, body)
	s.mu.Lock()
	s.calls[r.URL.Path+" "+strconv.Itoa(status)]++
	s.mu.Unlock()
}

func (s *logStore) serve(w http.ResponseWriter, r *http.Request, body []byte) int {
	q := r.URL.Query()
	write := r.URL.Path == "/api/log-append" || r.URL.Path == "/api/log-trim"
	if !s.admit(write) {
		w.WriteHeader(http.StatusTooManyRequests)
		return http.StatusTooManyRequests
	}
	p := s.part(q.Get("topic"), q.Get("part"))
	switch r.URL.Path {
	case "/api/log-append":
		return s.append(w, p, q.Get("topic"), q.Get("as_of"), body)
	case "/api/log-read":
		return s.read(w, r, p, q.Get("from"), q.Get("max_kb"), q.Get("wait_ms"))
	case "/api/log-newest":
		return newest(w, p, q.Get("after"))
	case "/api/log-trim":
		before, _ := strconv.ParseInt(q.Get("before"), 10, 64)
		p.mu.Lock()
		n := p.drop(int(before - p.first))
		p.mu.Unlock()
		s.mu.Lock()
		s.total -= n
		s.mu.Unlock()
		return reply(w, http.StatusOK, map[string]any{})
	}
	return reply(w, http.StatusNotFound, map[string]any{})
}

func reply(w http.ResponseWriter, status int, body any) int {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
	return status
}

// drop removes the oldest n records and returns their bytes. p.mu must be held.
func (p *logPart) drop(n int) int {
	n = min(n, len(p.records))
	bytes := 0
	for i := range max(0, n) {
		bytes += len(p.records[i].data)
	}
	if n > 0 {
		p.records = append([]logRecord(nil), p.records[n:]...)
		p.first += int64(n)
		p.bytes -= bytes
	}
	return bytes
}

func (p *logPart) end() int64 { return p.first + int64(len(p.records)) }

func (s *logStore) append(w http.ResponseWriter, p *logPart, topic, asOf string, body []byte) int {
	if len(body) > maxCallBytes {
		return reply(w, http.StatusRequestEntityTooLarge, map[string]any{})
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 || n > maxRecordBytes {
			return reply(w, http.StatusBadRequest, map[string]any{})
		}
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	s.mu.Lock()
	full := s.total+len(body) > maxTotalBytes
	s.mu.Unlock()
	if full {
		return reply(w, http.StatusInsufficientStorage, map[string]any{})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/appendBytesPerS*float64(time.Second)))
	end := p.end()
	if asOf != "" && asOf != strconv.FormatInt(end, 10) {
		return reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
	}
	now, added := time.Now(), 0
	for _, r := range records {
		p.records = append(p.records, logRecord{data: r, at: now})
		added += len(r)
	}
	p.bytes += added
	if topic[:min(6, len(topic))] != "keyed." {
		expired := 0
		for left := p.bytes; expired < len(p.records)-1 && (now.Sub(p.records[expired].at) > recordLifetime || left > maxPartBytes); expired++ {
			left -= len(p.records[expired].data)
		}
		added -= p.drop(expired)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	s.mu.Lock()
	s.total += added
	s.mu.Unlock()
	return reply(w, http.StatusOK, map[string]int64{"offset": end, "end": p.end()})
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request, p *logPart, fromText, maxKBText, waitText string) int {
	from, _ := strconv.ParseInt(fromText, 10, 64)
	maxKB, err := strconv.Atoi(maxKBText)
	if err != nil {
		maxKB = 1024
	}
	wait, _ := strconv.Atoi(waitText)
	p.mu.Lock()
	if grown := p.grown; from >= p.end() && wait > 0 {
		p.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		p.mu.Lock()
	}
	if from < p.first {
		first := p.first
		p.mu.Unlock()
		return reply(w, http.StatusGone, map[string]int64{"first": first})
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := from - p.first; i < int64(len(p.records)); i++ {
		data := p.records[i].data
		if i > from-p.first && len(out)+4+len(data) > maxKB<<10 {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(data))), data...)
	}
	p.mu.Unlock()
	_, _ = w.Write(out)
	return http.StatusOK
}

func newest(w http.ResponseWriter, p *logPart, after string) int {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	p.mu.Lock()
	byKey := map[string]item{}
	for i, r := range p.records {
		key := string(r.data[1 : 1+int(r.data[0])])
		if len(r.data) == 1+len(key) {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(r.data[1+len(key):]), Offset: p.first + int64(i)}
	}
	end := p.end()
	p.mu.Unlock()
	items := []item{}
	for key, i := range byKey {
		if key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	return reply(w, http.StatusOK, map[string]any{"items": items[:min(500, len(items))], "has_more": more, "end": end})
}

// put writes the value of a key, as the operator and the workers do; an empty value removes it.
func (s *logStore) put(topic, key string, value []byte) {
	p := s.part(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, logRecord{data: append(append([]byte{byte(len(key))}, key...), value...), at: time.Now()})
	close(p.grown)
	p.grown = make(chan struct{})
}
