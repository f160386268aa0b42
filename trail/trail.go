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
	// contextWindow is how long before the first and after the last line that mentions
	// the identifier state changes are included.
	contextWindow = 5 * time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// line is one line of a log.
type line struct {
	// at is the timestamp, zero when the line has none that can be parsed.
	at time.Time
	// fields holds all JSON fields, those of the timestamp and the message included.
	fields map[string]any
}

// identifierFields are the fields that hold the identifier of a request, turn or program.
var identifierFields = []string{"request", "program", "previous", "turn", "resumes"}

// stateChanges are the messages that report a change in what a process knows about
// endpoints, the store, the configuration or itself.
var stateChanges = map[string]bool{
	"endpoint changed": true, "endpoint entry gone": true, "endpoint failed": true, "store lost": true, "store back": true,
	"configuration in force": true, "front starts": true, "front stops": true, "front is ready": true, "shard loaded": true,
}

// omittedFields are not printed as key=value pairs.
var omittedFields = map[string]bool{"ts": true, "msg": true, "level": true, "instance": true, "caller": true}

// Trail holds the lines that concern one identifier, ordered by time.
type Trail struct {
	lines []line
	// unparsed is the number of lines that hold no JSON.
	unparsed int
}

// Read selects the lines that concern the identifier of a request, turn or program from
// logs in JSON format. Text before the first brace of a line is ignored, such as a prefix
// added by a log collector. Lines that hold no JSON are skipped and counted. An error
// means that a log could not be read or has a line longer than 1 MiB.
func Read(identifier string, logs ...io.Reader) (*Trail, error) {
	var merged []line
	t := &Trail{}
	for _, log := range logs {
		lines, unparsed, err := parse(log)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		merged, t.unparsed = append(merged, lines...), t.unparsed+unparsed
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].at.Before(merged[j].at) })
	t.lines = selectRelated(merged, identifier)
	return t, nil
}

// Len returns the number of selected lines.
func (t *Trail) Len() int { return len(t.lines) }

// Unparsed returns the number of lines that were skipped because they hold no JSON.
func (t *Trail) Unparsed() int { return t.unparsed }

// parse returns the lines of a log and the number of lines that hold no JSON.
func parse(log io.Reader) ([]line, int, error) {
	var lines []line
	unparsed := 0
	scan := bufio.NewScanner(log)
	scan.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scan.Scan() {
		text := scan.Bytes()
		start := bytes.IndexByte(text, '{')
		l := line{fields: map[string]any{}}
		if start < 0 || json.Unmarshal(text[start:], &l.fields) != nil {
			unparsed++
			continue
		}
		l.at, _ = time.Parse("2006-01-02T15:04:05.999Z0700", fmt.Sprint(l.fields["ts"]))
		lines = append(lines, l)
	}
	return lines, unparsed, scan.Err()
}

// selectRelated returns the lines that mention the identifier or a program that it belongs
// to. It adds the state changes within contextWindow of them that concern the instances
// that logged them and the endpoints that they mention. lines must be ordered by time.
func selectRelated(lines []line, identifier string) []line {
	identifiers := map[string]bool{identifier: true}
	for _, l := range lines {
		if l.mentions(identifiers) {
			if program, ok := l.fields["program"].(string); ok {
				identifiers[program] = true
			}
		}
	}
	var first, last time.Time
	participants := map[string]bool{}
	mentioned := make([]bool, len(lines))
	for i, l := range lines {
		if !l.mentions(identifiers) {
			continue
		}
		mentioned[i] = true
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		participants[fmt.Sprint(l.fields["instance"])] = true
		if endpoint, ok := l.fields["endpoint"].(string); ok {
			participants[endpoint] = true
		}
	}
	var selected []line
	for i, l := range lines {
		if mentioned[i] || (!first.IsZero() && l.within(first, last) && l.changesStateOf(participants)) {
			selected = append(selected, l)
		}
	}
	return selected
}

// mentions reports whether an identifier field of the line holds one of the identifiers.
func (l line) mentions(identifiers map[string]bool) bool {
	for _, key := range identifierFields {
		if v, ok := l.fields[key].(string); ok && identifiers[v] {
			return true
		}
	}
	return false
}

// within reports whether the line was logged between first and last, extended by
// contextWindow on both sides.
func (l line) within(first, last time.Time) bool {
	return l.at.After(first.Add(-contextWindow)) && l.at.Before(last.Add(contextWindow))
}

// changesStateOf reports whether the line is a state change that one of the participating
// instances logged about itself or about a participating endpoint.
func (l line) changesStateOf(participants map[string]bool) bool {
	if !stateChanges[fmt.Sprint(l.fields["msg"])] || !participants[fmt.Sprint(l.fields["instance"])] {
		return false
	}
	endpoint, ok := l.fields["endpoint"].(string)
	return !ok || participants[endpoint]
}

// Print writes one line of text for each log line: time of day, instance, message, and
// the other fields in alphabetical order.
func (t *Trail) Print(w io.Writer) error {
	for _, l := range t.lines {
		keys := make([]string, 0, len(l.fields))
		for k := range l.fields {
			if !omittedFields[k] {
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
