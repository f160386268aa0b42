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
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as PROTOCOL.md and the settings on DEPLOY.md give them.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = 2 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	maxReadKB    = 1024
	newestPage   = 500
	maxReadBytes = 1 << 20
	// readRate is read_mb_s, which all reads share.
	readRate = 80 << 20
)

// store is a stand-in of the platform's metadata store.
type store struct {
	server  *http.Server
	address string
	mu      sync.Mutex
	topics  map[string]*partition
	// slow multiplies the time of an answer.
	slow float64
	// readFreeAt is until when the shared read bandwidth is in use.
	readFreeAt time.Time
	// refusedTooLong counts appends refused because of a record over recordBytes.
	refusedTooLong int
}

// partition is a log of records. append holds appending for its time.
type partition struct {
	appending sync.Mutex
	first     int64
	records   [][]byte
}

func startStore() (*store, error) {
	s := &store{topics: map[string]*partition{}, slow: 1}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) setSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// delay returns the time of an answer.
func (s *store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.slow * float64(answerTime))
}

// partition returns a partition; s.mu must be held.
func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p, ok := s.topics[key]
	if !ok {
		p = &partition{}
		s.topics[key] = p
	}
	return p
}

// put writes a value of a key to a keyed topic, as the operator and the workers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	record := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, append(record, value...))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay())
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, q.Get("topic"), q.Get("part"), q.Get("as_of"), body)
	case "/api/log-read":
		s.read(w, r, q.Get("topic"), q.Get("part"), q.Get("from"), q.Get("max_kb"), q.Get("wait_ms"))
	case "/api/log-newest":
		s.newest(w, q.Get("topic"), q.Get("part"), q.Get("after"))
	case "/api/log-trim":
		s.trim(q.Get("topic"), q.Get("part"), q.Get("before"))
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// split returns the records of a call, or false if one is malformed or beyond the limits.
func split(body []byte) (records [][]byte, ok bool) {
	total := len(body)
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	return records, total-4*len(records) <= callBytes
}

func (s *store) append(w http.ResponseWriter, topic, part, asOf string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	records, ok := split(body)
	if !ok {
		s.mu.Lock()
		s.refusedTooLong++
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]any{"error": "record_bytes or call_bytes exceeded"})
		return
	}
	s.mu.Lock()
	p := s.partition(topic, part)
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := p.first + int64(len(p.records))
	if asOf != "" && asOf != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	p.records = append(p.records, records...)
	reply(w, http.StatusOK, map[string]int64{"offset": end, "end": end + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, part, fromText, maxKBText, waitText string) {
	from, _ := strconv.ParseInt(fromText, 10, 64)
	maxKB, err := strconv.Atoi(maxKBText)
	if err != nil || maxKB > maxReadKB {
		maxKB = maxReadKB
	}
	waitMS, _ := strconv.Atoi(waitText)
	until := time.Now().Add(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(topic, part)
		first, end := p.first, p.first+int64(len(p.records))
		if from < first {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from >= end && time.Now().Before(until) && r.Context().Err() == nil {
			s.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, uint64(first))
		for i := from - first; i >= 0 && i < int64(len(p.records)); i++ {
			if i > from-first && len(out)+len(p.records[i]) > maxKB<<10 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
			out = append(out, p.records[i]...)
		}
		now := time.Now()
		if s.readFreeAt.Before(now) {
			s.readFreeAt = now
		}
		s.readFreeAt = s.readFreeAt.Add(time.Duration(float64(len(out)) / readRate * float64(time.Second)))
		wait := s.readFreeAt.Sub(now)
		s.mu.Unlock()
		time.Sleep(wait)
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, topic, part, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(topic, part)
	byKey := map[string]item{}
	for i, record := range p.records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			continue
		}
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.first + int64(i)}
	}
	end := p.first + int64(len(p.records))
	s.mu.Unlock()
	keys := make([]string, 0, len(byKey))
	for key := range byKey {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == newestPage || size > maxReadBytes {
			more = true
			break
		}
		items = append(items, byKey[key])
		size += len(byKey[key].Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func (s *store) trim(topic, part, beforeText string) {
	before, _ := strconv.ParseInt(beforeText, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if n := before - p.first; n > 0 && n <= int64(len(p.records)) {
		p.records, p.first = p.records[n:], before
	}
}

// sizes returns the number of records and bytes of each partition of a topic.
func (s *store) sizes(topic string) (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.topics {
		if strings.HasPrefix(key, topic+"/") {
			records += len(p.records)
			for _, r := range p.records {
				bytes += len(r)
			}
		}
	}
	return records, bytes
}
