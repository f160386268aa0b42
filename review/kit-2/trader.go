package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// trader is a stand-in of a server of a plain service. It works on the connections themselves, so that an
// extra answer can arrive where the next one is expected.
type trader struct {
	id, service, address string
	record               *record
	mu                   sync.Mutex
	// spoil is the share of the answers that are sent once more, before the next answer on their connection.
	spoil float64
	runs  map[string]int
	extra int
}

// newTrader serves on a free port of an address and keeps its entry in the store up to date.
func newTrader(s *store, rec *record, ip, id, service, zone string, slots int) (*trader, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &trader{id: id, service: service, address: listener.Addr().String(), record: rec, runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go keepEntry(s, id, service, w.address, zone, slots)
	return w, nil
}

// keepEntry writes the entry of a server at every heartbeat.
func keepEntry(s *store, id, service, address, zone string, slots int) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		if !s.isDown() {
			s.put("keyed.servers", id, map[string]any{
				"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
			})
		}
		time.Sleep(heartbeat)
	}
}

// setSpoil sets the share of the answers that are sent once more.
func (w *trader) setSpoil(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = share
}

// serve answers the requests of a connection one after the other.
func (w *trader) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, late := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			w.record.printf("extra answer of %s ahead of the answer to %s: %q", w.id, r.Header.Get("Request-Id"), late[:strings.Index(late, "\r\n")])
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		text := w.handle(r)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		w.mu.Lock()
		if rand.Float64() < w.spoil {
			w.extra++
			late = text
		}
		w.mu.Unlock()
	}
}

// handle works on a request or rejects it, and returns the answer.
func (w *trader) handle(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	echo := ""
	if id != "" {
		echo = "Request-Id: " + id + "\r\n"
	}
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != w.id:
		return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + echo + "\r\n"
	case id == "":
		w.record.printf("%s rejects a request without an id", w.id)
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	w.mu.Lock()
	w.runs[id]++
	count := w.runs[id]
	w.mu.Unlock()
	w.record.printf("run %s at %s: %s %s (time %d here)", id, w.id, r.Method, r.URL.Path, count)
	time.Sleep(20 * time.Millisecond)
	body := "paid " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Stamp: stamp-%s-%s\r\nContent-Length: %d\r\n\r\n%s", echo, w.id, id, len(body), body)
}
