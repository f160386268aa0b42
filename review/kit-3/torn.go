package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// tornBytes is the whole answer of the plain service and tornAfter what it has sent when it crashes.
	tornBytes, tornAfter = 16 << 20, 12 << 20
	// tornDown is how long the service is down after a crash.
	tornDown = time.Second
	// readBytesPerSecond is the pace of the client.
	readBytesPerSecond = 2 << 20
	// tornTries is the number of requests, one after the other.
	tornTries = 6
)

// tornService is a plain service whose answers end with their connection. It may crash: its connections and
// its listener close, as the kernel does for a process that is killed, and it starts again.
type tornService struct {
	site    *site
	id      string
	addr    string
	mu      sync.Mutex
	l       net.Listener
	conns   map[net.Conn]bool
	born    time.Time
	trouble bool
}

func (t *tornService) listen() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.l, t.conns, t.born, t.addr = l, map[net.Conn]bool{}, time.Now(), l.Addr().String()
	t.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[c] = true
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	return nil
}

func (t *tornService) beat() {
	for seq := 1; ; seq++ {
		t.mu.Lock()
		up := t.l != nil
		value := fmt.Sprintf(`{"service":"app","address":"%s","zone":"a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`, t.addr, seq, t.born.UnixMilli())
		t.mu.Unlock()
		if up {
			t.site.store.put("keyed.servers", t.id, []byte(value))
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// crash closes the listener and all connections, and starts the service again after tornDown.
func (t *tornService) crash() {
	t.mu.Lock()
	t.l.Close()
	t.l = nil
	for c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.site.note("%s crashes", t.id)
	time.AfterFunc(tornDown, func() {
		err := t.listen()
		t.site.note("%s is back at %s: %v", t.id, t.addr, err)
	})
}

func (t *tornService) serve(c net.Conn) {
	defer c.Close()
	var head []byte
	buffer := make([]byte, 4096)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		n, err := c.Read(buffer)
		head = append(head, buffer[:n]...)
		if err != nil {
			return
		}
	}
	id, expected := "", ""
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && strings.EqualFold(name, "Request-Id") {
			id = value
		} else if ok && strings.EqualFold(name, "Expect-Instance") {
			expected = value
		}
	}
	if expected != "" && expected != t.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", t.id)
		return
	}
	t.site.ran(run{at: time.Now(), worker: t.id, id: id})
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s-%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", id, t.id, id)
	part := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	for sent := 0; sent < tornBytes; {
		n, err := c.Write(part)
		if err != nil {
			return
		}
		if sent += n; t.trouble && sent >= tornAfter {
			t.site.note("%s has sent %d of %d bytes of the answer to %s", t.id, sent, tornBytes, id)
			t.crash()
			return
		}
	}
	t.site.note("%s has sent all %d bytes of the answer to %s", t.id, tornBytes, id)
}

// torn has a plain service crash while it sends a long answer that ends with its connection, to a client
// that reads it slowly. The service is back before the front has read what the service had sent.
func torn(s *site, trouble bool) (int, error) {
	service := &tornService{site: s, id: "i-app-0", addr: "127.0.0.1:0", trouble: trouble}
	if err := service.listen(); err != nil {
		return cannotRun, err
	}
	go service.beat()
	if err := s.open(2, 2, 0, false); err != nil {
		return cannotRun, err
	}
	result := held
	for try := range tornTries {
		f := s.fronts[try%len(s.fronts)]
		id := newID()
		total, status, ended := s.download(f, id)
		s.note("request %s at %s: status %d, %d of %d bytes, the answer %s", id, f.name, status, total, tornBytes, ended)
		if status == http.StatusOK && ended == "is complete" && total != tornBytes {
			result = broken
		}
		time.Sleep(2 * time.Second)
	}
	return result, nil
}

// download sends a request and reads the answer slowly. It returns the bytes of the body, the status, and how
// the answer ended.
func (s *site) download(f *front, id string) (int, int, string) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.callers+"/file/report", nil)
	req.Host = "site.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "12000")
	resp, err := (&http.Client{Transport: transport, Timeout: 12 * time.Second}).Do(req)
	if err != nil {
		return 0, 0, err.Error()
	}
	defer resp.Body.Close()
	total, began, buffer := 0, time.Now(), make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buffer)
		total += n
		if err == io.EOF {
			return total, resp.StatusCode, "is complete"
		}
		if err != nil {
			return total, resp.StatusCode, "breaks off: " + err.Error()
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(total) / readBytesPerSecond * float64(time.Second)))))
	}
}
