package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// hostileConns is the number of connections that an event opens.
	hostileConns = 40
	// maxHeadBytes is the limit of the configuration for a head, legalBytes what follows the first
	// lines of a head that stays below it.
	maxHeadBytes, legalBytes = 16 << 10, 16000
	// endlessBytes bounds what a connection sends of something without end.
	endlessBytes = 1 << 20
)

// hostileHeads lists what hostile clients repeat after the first lines of a head, or in place of them.
var hostileHeads = []struct {
	part   string
	length int
	// complete is set if an empty line ends the head, bare if it has no first lines.
	complete, bare bool
}{
	{part: "a:\r\n", length: legalBytes, complete: true},
	{part: "X-Odd-Name: with a value\r\n", length: legalBytes, complete: true},
	{part: "a:\r\n", length: legalBytes},
	{part: "Longer: " + strings.Repeat("x", 4000) + "\r\n", length: endlessBytes},
	{part: "x", length: endlessBytes},
	{part: "\r\n", length: endlessBytes, bare: true},
}

// hostileHead returns what the connection with a number sends, with a request ID in its first lines.
func hostileHead(number int, id string) string {
	kind := hostileHeads[number%len(hostileHeads)]
	head := fmt.Sprintf("GET /alert/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n", host, keyOf(usualCustomer), id)
	if kind.bare {
		head = ""
	}
	head += strings.Repeat(kind.part, kind.length/len(kind.part))
	if kind.complete {
		head += "\r\n"
	}
	return head
}

// applyHostileHeads opens connections to a port of a front, most often that of callers, sends a
// hostile head on each and keeps them open for the span of the event.
func (s *site) applyHostileHeads(e event, f *front) {
	address := []string{f.callers, f.callers, f.callers, f.ready, f.metrics, f.peers}[e.variant%6]
	until := time.Now().Add(e.span)
	var clients sync.WaitGroup
	for number := range hostileConns {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(until)
			id := newID()
			s.observer.sent(id, attempt{maxRuns: 2, improper: true})
			if _, err := io.WriteString(conn, hostileHead(number, id)); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			time.Sleep(time.Until(until))
		})
	}
	clients.Wait()
}
