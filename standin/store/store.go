// Package store is a fake of the platform's log store for tests. It serves the
// store's HTTP interface from memory and simulates failures.
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
	"time"
)

// Fault is a failure that the store simulates.
type Fault uint8

// Faults that a test can set.
const (
	// NoFault serves calls normally.
	NoFault Fault = iota
	// Unavailable rejects all calls with status 503 before they take effect.
	Unavailable
	// ConnectionReset closes the connection of each call without a response and before
	// the call takes effect.
	ConnectionReset
	// AppendResponseLost stores the records of an append and then closes the connection
	// without a response. Other calls are served normally.
	AppendResponseLost
	// Silent answers no call and carries none out.
	Silent
)

// defaultPageKB limits a page of a read that names no limit, in KiB.
const defaultPageKB = 1024

// Store is an in-memory log store. It is an http.Handler and is safe for concurrent
// use.
type Store struct {
	// mu guards the fields below.
	mu sync.Mutex
	// topics holds the partitions by topic and partition index.
	topics map[string]map[int]*partition
	fault  Fault
	// latency delays each call before it takes effect, also when its caller has gone.
	latency time.Duration
	// callCount includes the calls that failed because of a fault.
	callCount int
}

// partition is an append-only log of records with consecutive offsets.
type partition struct {
	// firstOffset is the offset of records[0], or the end offset if records is empty.
	firstOffset int64
	records     [][]byte
}

// New returns an empty store without a fault.
func New() *Store { return &Store{topics: map[string]map[int]*partition{}} }

// SetFault sets the failure that later calls meet.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetLatency sets how long each later call waits before it takes effect.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// CallCount returns the number of calls received, including those that failed because
// of a fault.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Put appends a value for a key to partition 0 of a keyed topic, as the operator and
// the endpoints of the platform do. An empty value deletes the key. The key is at most
// 255 bytes long, because a record holds the length of its key in one byte, followed by
// the key and the value.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append(append([]byte{byte(len(key))}, key...), value...)
	p := s.partitionLocked(topic, 0)
	p.records = append(p.records, record)
}

// Newest returns the newest value of each key of partition 0 of a keyed topic.
func (s *Store) Newest(topic string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for _, r := range s.partitionLocked(topic, 0).newestRecords() {
		values[r.key] = r.record[1+len(r.key):]
	}
	return values
}

// Compact removes all records from partition 0 of a keyed topic except the newest of
// each key, which get new offsets after the removed ones.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionLocked(topic, 0)
	newest := p.newestRecords()
	p.firstOffset += int64(len(p.records))
	p.records = nil
	for _, r := range newest {
		p.records = append(p.records, r.record)
	}
}

// partitionLocked returns a partition and creates it if necessary. s.mu must be
// held.
func (s *Store) partitionLocked(topic string, partitionIndex int) *partition {
	partitions, ok := s.topics[topic]
	if !ok {
		partitions = map[int]*partition{}
		s.topics[topic] = partitions
	}
	p, ok := partitions[partitionIndex]
	if !ok {
		p = &partition{}
		partitions[partitionIndex] = p
	}
	return p
}

// keyedRecord is a record of a keyed topic.
type keyedRecord struct {
	key string
	// record is the whole record: the length of the key, the key and the value.
	record []byte
	offset int64
}

// newestRecords returns the newest record of each key that is not deleted, sorted by
// key. All records of the partition must have a key.
func (p *partition) newestRecords() []keyedRecord {
	byKey := map[string]keyedRecord{}
	for i, r := range p.records {
		key := string(r[1 : 1+int(r[0])])
		byKey[key] = keyedRecord{key: key, record: r, offset: p.firstOffset + int64(i)}
		if len(r) == 1+len(key) {
			delete(byKey, key)
		}
	}
	newest := make([]keyedRecord, 0, len(byKey))
	for _, r := range byKey {
		newest = append(newest, r)
	}
	sort.Slice(newest, func(i, j int) bool { return newest[i].key < newest[j].key })
	return newest
}

// ServeHTTP serves a call of the store, unless the fault prevents it.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	silent := s.fault == Silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	switch s.fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ConnectionReset:
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	partitionIndex, _ := strconv.Atoi(query.Get("part"))
	p := s.partitionLocked(query.Get("topic"), partitionIndex)
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, p, query.Get("as_of"), body)
	case "/api/log-read":
		serveRead(w, p, query.Get("from"), query.Get("max_kb"))
	case "/api/log-newest":
		serveNewest(w, p)
	case "/api/log-trim":
		before, _ := strconv.ParseInt(query.Get("before"), 10, 64)
		if dropped := before - p.firstOffset; dropped > 0 && dropped <= int64(len(p.records)) {
			p.records, p.firstOffset = p.records[dropped:], before
		}
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveAppend appends the records in body, each of which follows its length as a 4-byte
// big-endian integer. If expectedEnd is not empty and differs from the end offset of
// the partition, nothing is appended and the response is status 412.
func (s *Store) serveAppend(w http.ResponseWriter, p *partition, expectedEnd string, body []byte) {
	end := p.firstOffset + int64(len(p.records))
	if expectedEnd != "" && expectedEnd != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 {
			break
		}
		p.records = append(p.records, append([]byte(nil), body[4:4+length]...))
		body = body[4+length:]
	}
	if s.fault == AppendResponseLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": end, "end": p.firstOffset + int64(len(p.records))})
}

// serveRead sends the end offset and the first offset of the partition as 8-byte
// big-endian integers, followed by records from the requested offset on in the format of
// an append: at least one if there is any, and no more than maxKBText says, which is
// defaultPageKB when empty. If the requested offset has expired, the response is status
// 410.
func serveRead(w http.ResponseWriter, p *partition, fromText, maxKBText string) {
	from, _ := strconv.ParseInt(fromText, 10, 64)
	maxKB, err := strconv.Atoi(maxKBText)
	if err != nil {
		maxKB = defaultPageKB
	}
	if from < p.firstOffset {
		writeJSON(w, http.StatusGone, map[string]int64{"first": p.firstOffset})
		return
	}
	end := p.firstOffset + int64(len(p.records))
	response := binary.BigEndian.AppendUint64(nil, uint64(end))
	response = binary.BigEndian.AppendUint64(response, uint64(p.firstOffset))
	for i := from - p.firstOffset; i < int64(len(p.records)); i++ {
		if i > from-p.firstOffset && len(response)+len(p.records[i]) > maxKB<<10 {
			break
		}
		response = binary.BigEndian.AppendUint32(response, uint32(len(p.records[i])))
		response = append(response, p.records[i]...)
	}
	_, _ = w.Write(response)
}

// serveNewest sends the newest record of each key on a single page, with the values in
// base64.
func serveNewest(w http.ResponseWriter, p *partition) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, r := range p.newestRecords() {
		items = append(items, item{Key: r.key, Value: base64.StdEncoding.EncodeToString(r.record[1+len(r.key):]), Offset: r.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": p.firstOffset + int64(len(p.records))})
}
