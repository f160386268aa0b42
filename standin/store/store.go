// Package store stands for the platform's store: its log and the newest record of
// each key.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
)

// Fault is what the store does with calls.
type Fault uint8

// Faults of the store.
const (
	// None means that calls are served.
	None Fault = iota
	// Busy means that calls are refused.
	Busy
	// Reset means that connections are closed without an answer.
	Reset
	// LostWrites means that appends take effect and are not answered.
	LostWrites
)

// Store is a store in memory.
type Store struct {
	mu     sync.Mutex
	topics map[string]map[int]*partition
	fault  Fault
	calls  int
}

// partition is one part of a topic.
type partition struct {
	first   int64
	records [][]byte
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]map[int]*partition{}} }

// Set changes what the store does from now on.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes the newest record of a key, as the operator and the endpoints do; a nil
// value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append(append([]byte{byte(len(key))}, key...), value...)
	p := s.partition(topic, 0)
	p.records = append(p.records, record)
}

// Forget drops the records of a topic but the newest of each key.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, 0)
	keep := p.newest()
	p.first += int64(len(p.records))
	p.records = nil
	for _, r := range keep {
		p.records = append(p.records, r.record)
	}
}

func (s *Store) partition(topic string, part int) *partition {
	t, ok := s.topics[topic]
	if !ok {
		t = map[int]*partition{}
		s.topics[topic] = t
	}
	p, ok := t[part]
	if !ok {
		p = &partition{}
		t[part] = p
	}
	return p
}

type keyed struct {
	key    string
	record []byte
	offset int64
}

// newest returns the newest record of each key in order of the keys.
func (p *partition) newest() []keyed {
	byKey := map[string]keyed{}
	for i, r := range p.records {
		key := string(r[1 : 1+int(r[0])])
		byKey[key] = keyed{key: key, record: r, offset: p.first + int64(i)}
		if len(r) == 1+len(key) {
			delete(byKey, key)
		}
	}
	out := make([]keyed, 0, len(byKey))
	for _, k := range byKey {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch s.fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	p := s.partition(q.Get("topic"), part)
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, p, q.Get("as_of"), body)
	case "/api/log-read":
		read(w, p, q.Get("from"))
	case "/api/log-newest":
		newest(w, p)
	case "/api/log-trim":
		before, _ := strconv.ParseInt(q.Get("before"), 10, 64)
		if n := before - p.first; n > 0 && n <= int64(len(p.records)) {
			p.records, p.first = p.records[n:], before
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, p *partition, asOf string, body []byte) {
	end := p.first + int64(len(p.records))
	if asOf != "" && asOf != strconv.FormatInt(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		p.records = append(p.records, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	if s.fault == LostWrites {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]int64{"offset": end, "end": p.first + int64(len(p.records))})
}

func read(w http.ResponseWriter, p *partition, text string) {
	from, _ := strconv.ParseInt(text, 10, 64)
	if from < p.first {
		answer(w, http.StatusGone, map[string]int64{"first": p.first})
		return
	}
	end := p.first + int64(len(p.records))
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := from - p.first; i < int64(len(p.records)); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	_, _ = w.Write(out)
}

func newest(w http.ResponseWriter, p *partition) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, k := range p.newest() {
		items = append(items, item{Key: k.key, Value: base64.StdEncoding.EncodeToString(k.record[1+len(k.key):]), Offset: k.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": p.first + int64(len(p.records))})
}
