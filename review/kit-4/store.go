package main

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

// platformStore is the platform's store in memory. It loses nothing that it has acknowledged but what
// expires: records of topics without keys, once they are older than retention.
type platformStore struct {
	retention time.Duration
	mu        sync.Mutex
	topics    map[string]*partition
	// readsPerSecond is how many reads a second are served; 0 is no limit.
	readsPerSecond, readsNow, reads, refused int
	second                                   int64
}

// partition is one partition of a topic.
type partition struct {
	keyed   bool
	first   int64
	records []storedRecord
}

type storedRecord struct {
	data []byte
	at   time.Time
}

func newPlatformStore(retention time.Duration) *platformStore {
	return &platformStore{retention: retention, topics: map[string]*partition{}}
}

// partitionLocked returns a partition without its expired records.
func (s *platformStore) partitionLocked(topic, part string) *partition {
	p, ok := s.topics[topic+"/"+part]
	if !ok {
		p = &partition{keyed: len(topic) > 6 && topic[:6] == "keyed."}
		s.topics[topic+"/"+part] = p
	}
	for !p.keyed && len(p.records) > 0 && time.Since(p.records[0].at) > s.retention {
		p.records, p.first = p.records[1:], p.first+1
	}
	return p
}

// put appends the value of a key, as the operator and the servers do.
func (s *platformStore) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionLocked(topic, "0")
	p.records = append(p.records, storedRecord{data: append(append([]byte{byte(len(key))}, key...), data...), at: time.Now()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	// The pages give 4 ms for an answer.
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	p := s.partitionLocked(q.Get("topic"), q.Get("part"))
	end := p.first + int64(len(p.records))
	if r.Method == http.MethodGet && s.readsPerSecond > 0 {
		if now := time.Now().Unix(); now != s.second {
			s.second, s.readsNow = now, 0
		}
		s.reads++
		if s.readsNow++; s.readsNow > s.readsPerSecond {
			s.refused++
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
	}
	switch r.URL.Path {
	case "/api/log-append":
		if asOf := q.Get("as_of"); asOf != "" && asOf != strconv.FormatInt(end, 10) {
			reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
			return
		}
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			p.records = append(p.records, storedRecord{data: append([]byte(nil), body[4:4+n]...), at: time.Now()})
			body = body[4+n:]
		}
		reply(w, http.StatusOK, map[string]int64{"offset": end, "end": p.first + int64(len(p.records))})
	case "/api/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		if from < p.first {
			reply(w, http.StatusGone, map[string]int64{"first": p.first})
			return
		}
		maxKB, err := strconv.Atoi(q.Get("max_kb"))
		if err != nil {
			maxKB = 1024
		}
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), uint64(p.first))
		for i := from - p.first; i < int64(len(p.records)); i++ {
			if i > from-p.first && len(out)+len(p.records[i].data) > maxKB<<10 {
				break
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].data))), p.records[i].data...)
		}
		_, _ = w.Write(out)
	case "/api/log-newest":
		s.newest(w, p, q.Get("after"))
	case "/api/log-trim":
		before, _ := strconv.ParseInt(q.Get("before"), 10, 64)
		if n := before - p.first; n > 0 && n <= int64(len(p.records)) {
			p.records, p.first = p.records[n:], before
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *platformStore) newest(w http.ResponseWriter, p *partition, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	byKey := map[string]item{}
	for i, r := range p.records {
		n := int(r.data[0])
		key, value := string(r.data[1:1+n]), r.data[1+n:]
		if len(value) == 0 {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.first + int64(i)}
	}
	items := []item{}
	for key, it := range byKey {
		if key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": p.first + int64(len(p.records))})
}
