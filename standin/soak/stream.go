package soak

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// chunkTokens is the number of tokens of an event.
const chunkTokens = 13

// piece is an event of a stream as a caller received it.
type piece struct {
	id int
	// text names the request that the piece belongs to.
	text string
	// number is the number of the piece in the text.
	number int
	// run and version name the run and the software version that produced the piece.
	run, version string
	// attempt is the attempt of the caller that brought the piece.
	attempt int
	// data is the data of the event.
	data string
}

// textOf returns the name of the text that the endpoints produce for a body.
func textOf(body string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(body))
	return strconv.FormatUint(h.Sum64(), 16)
}

// eventData returns the data of an event.
func eventData(number int, text, run, version string) string {
	data := fmt.Sprintf("piece %d of %s run %s version %s ", number, text, run, version)
	return data + strings.Repeat("y", max(0, 95-len(data)))
}

// splitEvents returns the whole events at the beginning of the body of a stream and what follows
// them.
func splitEvents(body string, attempt int) (pieces []piece, rest string, err error) {
	for {
		block, after, ok := strings.Cut(body, "\n\n")
		if !ok {
			return pieces, body, nil
		}
		p := piece{attempt: attempt}
		id, data, _ := strings.Cut(block, "\ndata: ")
		p.data = data
		if _, scanErr := fmt.Sscanf(id, "id: %d", &p.id); scanErr != nil {
			return pieces, body, fmt.Errorf("no event: %.80q", block)
		}
		if _, scanErr := fmt.Sscanf(data, "piece %d of %s run %s version %s", &p.number, &p.text, &p.run, &p.version); scanErr != nil || data != eventData(p.number, p.text, p.run, p.version) {
			return pieces, body, fmt.Errorf("event %d has other data: %.120q", p.id, data)
		}
		pieces, body = append(pieces, p), after
	}
}

// checkPieces returns the first thing that is wrong about the pieces of a stream that a caller
// received in one attempt or several, or "". complete means that the last attempt ended as
// complete; a resumable stream may hold pieces of several runs.
func checkPieces(pieces []piece, text string, want int, complete, resumable bool) string {
	for i, p := range pieces {
		switch {
		case p.text != text:
			return fmt.Sprintf("event %d belongs to the text %s, expected %s", p.id, p.text, text)
		case p.id != i+1 || p.number != i+1:
			return fmt.Sprintf("event %d with piece %d follows event %d", p.id, p.number, i)
		case i > 0 && !resumable && p.run != pieces[0].run:
			return fmt.Sprintf("event %d is of the run %s, the first of %s, and the stream is not resumable", p.id, p.run, pieces[0].run)
		}
	}
	if len(pieces) > want {
		return fmt.Sprintf("has %d events, expected %d", len(pieces), want)
	}
	if complete && len(pieces) < want {
		return fmt.Sprintf("ended as complete after event %d of %d", len(pieces), want)
	}
	return ""
}

// streamed checks a stream that a caller received in one attempt or several.
func (o *observer) streamed(ids []string, pieces []piece, text string, want int, complete, resumable bool) {
	if wrong := checkPieces(pieces, text, want, complete, resumable); wrong != "" {
		o.report("ORDER", "stream %v %s", ids, wrong)
	}
	for i := 1; i < len(pieces); i++ {
		if pieces[i].version == pieces[i-1].version {
			continue
		}
		o.mu.Lock()
		o.joined++
		o.mu.Unlock()
		where := "in one answer"
		if pieces[i].attempt != pieces[i-1].attempt {
			where = "over two attempts"
		}
		o.note("stream %v goes on from %s of run %s to %s of run %s at event %d, %s", ids, pieces[i-1].version, pieces[i-1].run, pieces[i].version, pieces[i].run, pieces[i].id, where)
		return
	}
}
