package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	// around is how long before and after a request the lines about its endpoint and
	// its dependencies are shown.
	around = 5 * time.Second
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
)

// line is one line of a log.
type line struct {
	at     time.Time
	fields map[string]any
}

// identifiers are the fields by which a line names a request, a turn or a program.
var identifiers = []string{"request", "program", "previous", "turn"}

// beliefs are the messages that change what a process believes.
var beliefs = map[string]bool{
	"endpoint changed": true, "endpoint entry gone": true, "endpoint failed": true, "store lost": true, "store back": true,
	"configuration in force": true, "front starts": true, "front stops": true, "front is ready": true, "shard loaded": true,
}

// header are the fields that Print does not repeat.
var header = map[string]bool{"ts": true, "msg": true, "level": true, "instance": true, "caller": true}

// Trail is the lines that belong to an identifier, in order of time.
type Trail struct {
	lines   []line
	skipped int
}

// Read follows an identifier through logs; text before the first brace of a line is
// passed over, lines that hold no JSON are counted.
func Read(id string, logs ...io.Reader) (*Trail, error) {
	var all []line
	t := &Trail{}
	for _, log := range logs {
		lines, skipped, err := parse(log)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		all, t.skipped = append(all, lines...), t.skipped+skipped
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	t.lines = choose(all, id)
	return t, nil
}

// Len returns the number of lines.
func (t *Trail) Len() int { return len(t.lines) }

// Skipped returns the number of lines that could not be read.
func (t *Trail) Skipped() int { return t.skipped }

func parse(log io.Reader) ([]line, int, error) {
	var out []line
	skipped := 0
	scan := bufio.NewScanner(log)
	scan.Buffer(make([]byte, 0, maxLine), maxLine)
	for scan.Scan() {
		text := scan.Bytes()
		start := bytes.IndexByte(text, '{')
		l := line{fields: map[string]any{}}
		if start < 0 || json.Unmarshal(text[start:], &l.fields) != nil {
			skipped++
			continue
		}
		l.at, _ = time.Parse("2006-01-02T15:04:05.999Z0700", fmt.Sprint(l.fields["ts"]))
		out = append(out, l)
	}
	return out, skipped, scan.Err()
}

// choose returns the lines that name the identifier, those of the program that it
// belongs to, and what changed around them on the endpoints and instances named.
func choose(all []line, id string) []line {
	wanted := map[string]bool{id: true}
	for _, l := range all {
		if l.names(wanted) {
			if p, ok := l.fields["program"].(string); ok {
				wanted[p] = true
			}
		}
	}
	var first, last time.Time
	places := map[string]bool{}
	chosen := make([]bool, len(all))
	for i, l := range all {
		if !l.names(wanted) {
			continue
		}
		chosen[i] = true
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		places[fmt.Sprint(l.fields["instance"])] = true
		if e, ok := l.fields["endpoint"].(string); ok {
			places[e] = true
		}
	}
	var out []line
	for i, l := range all {
		if chosen[i] || (!first.IsZero() && l.near(first, last) && l.changes(places)) {
			out = append(out, l)
		}
	}
	return out
}

// names reports whether a line is about one of the identifiers.
func (l line) names(wanted map[string]bool) bool {
	for _, key := range identifiers {
		if v, ok := l.fields[key].(string); ok && wanted[v] {
			return true
		}
	}
	return false
}

func (l line) near(first, last time.Time) bool {
	return l.at.After(first.Add(-around)) && l.at.Before(last.Add(around))
}

// changes reports whether a line changes what one of the instances believes, or what
// is believed of one of the endpoints.
func (l line) changes(places map[string]bool) bool {
	if !beliefs[fmt.Sprint(l.fields["msg"])] || !places[fmt.Sprint(l.fields["instance"])] {
		return false
	}
	e, ok := l.fields["endpoint"].(string)
	return !ok || places[e]
}

// Print writes the lines, one each, with their fields in order.
func (t *Trail) Print(w io.Writer) error {
	for _, l := range t.lines {
		keys := make([]string, 0, len(l.fields))
		for k := range l.fields {
			if !header[k] {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		var fields []string
		for _, k := range keys {
			fields = append(fields, fmt.Sprintf("%s=%v", k, l.fields[k]))
		}
		_, err := fmt.Fprintf(w, "%s  %-20v %-24v %s\n", l.at.Format("15:04:05.000"), l.fields["instance"], l.fields["msg"], strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
