package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// The limits of the store that PROTOCOL.md and the settings of a process name.
	storeBytes, recordBytes, callBytes = 400_000_000, 262_144, 2_097_152
	appendTime, partBytesPerSecond     = 2 * time.Millisecond, 20e6
	maxWaiting                         = 2 * time.Second
	maxItems                           = 500
)

// store is the platform's metadata store, in memory.
type store struct {
	mu     sync.Mutex
	topics map[string]map[int]*partition
	bytes  int
}

// partition is a partition of a topic, which does one append at a time.
type partition struct {
	first   int64
	records [][]byte
	busy    time.Time
}

func newStore() *store { return &store{topics: map[string]map[int]*partition{}} }

func (s *store) partLocked(topic string, part int) *partition {
	if s.topics[topic] == nil {
		s.topics[topic] = map[int]*partition{}
	}
	p := s.topics[topic][part]
	if p == nil {
		p = &partition{}
		s.topics[topic][part] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// put writes a record of a keyed topic, as the operator and the workers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partLocked(topic, 0)
	record := append(append([]byte{byte(len(key))}, key...), value...)
	p.records = append(p.records, record)
	s.bytes += len(record)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, topic, part, q.Get("as_of"), body)
	case "GET /api/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		most, err := strconv.Atoi(q.Get("max_kb"))
		if err != nil {
			most = 1024
		}
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, topic, part, from, most<<10, time.Duration(wait)*time.Millisecond)
	case "GET /api/log-newest":
		s.serveNewest(w, topic, part, q.Get("after"))
	case "POST /api/log-trim":
		before, _ := strconv.ParseInt(q.Get("before"), 10, 64)
		s.trim(topic, part, before)
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) trim(topic string, part int, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partLocked(topic, part)
	for p.first < before && len(p.records) > 0 {
		s.bytes -= len(p.records[0])
		p.records, p.first = p.records[1:], p.first+1
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic string, part int, asOf string, body []byte) {
	var records [][]byte
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if total += n; n > recordBytes || total > callBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		records, rest = append(records, rest[4:4+n]), rest[4+n:]
	}
	s.mu.Lock()
	p := s.partLocked(topic, part)
	begin := time.Now()
	if p.busy.After(begin) {
		begin = p.busy
	}
	if time.Until(begin) > maxWaiting {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.busy = begin.Add(appendTime + time.Duration(float64(total)/partBytesPerSecond*1e9))
	done := p.busy
	s.mu.Unlock()
	time.Sleep(time.Until(done))
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf != "" && asOf != strconv.FormatInt(p.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end": p.end()})
		return
	}
	if s.bytes+total > storeBytes {
		answer(w, http.StatusInsufficientStorage, map[string]string{"why": "full"})
		return
	}
	offset := p.end()
	for _, r := range records {
		p.records = append(p.records, slices.Clone(r))
	}
	s.bytes += total
	answer(w, http.StatusOK, map[string]int64{"offset": offset, "end": p.end()})
}

func (s *store) serveRead(w http.ResponseWriter, topic string, part int, from int64, most int, wait time.Duration) {
	until := time.Now().Add(min(wait, 30*time.Second))
	for {
		s.mu.Lock()
		p := s.partLocked(topic, part)
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < p.end() || time.Now().After(until) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			out = binary.BigEndian.AppendUint64(out, uint64(p.first))
			for i := from - p.first; i >= 0 && i < int64(len(p.records)); i++ {
				if len(out) > 16 && len(out)+len(p.records[i]) > most {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
				out = append(out, p.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string, part int, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.partLocked(topic, part)
	newest := map[string]item{}
	for i, r := range p.records {
		key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), p.first + int64(i)}
	}
	end := p.end()
	s.mu.Unlock()
	items := []item{}
	for key, it := range newest {
		if key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > maxItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxItems)], "has_more": more, "end": end})
}
