package mesh

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/transcript"
)

const (
	// transcriptHolders is the number of other fronts that hold the transcript of a stream, in other
	// failure domains where possible.
	transcriptHolders = 3
	// transcriptSearch is the number of fronts that are asked for a transcript. It is above
	// transcriptHolders, as fronts may have been lost or added since.
	transcriptSearch = 6
	// transcriptTimeout bounds the wait for the reply of one of these fronts.
	transcriptTimeout = 200 * time.Millisecond
)

// majority returns how many of a number of holders must have a part of a transcript, or be asked for it:
// any two majorities have a holder in common, which has the latest generation.
func majority(holders int) int { return holders/2 + 1 }

// transcriptWriter sends a transcript to its holders. It implements transcript.Recorder.
type transcriptWriter struct {
	mesh       *Mesh
	stream     string
	generation uint32
	// number tells writers of one generation apart.
	number  uint64
	holders []*transcriptHolder
	names   []string
	// marks are the ends of all events.
	marks []transcript.Mark
	// stopped is set once too few holders remember what the caller receives.
	stopped bool
}

// transcriptHolder is a front that holds a transcript.
type transcriptHolder struct {
	target target
	// mu guards the fields below it.
	mu sync.Mutex
	// length is the length of the text that the front is known to hold.
	length int
	// failed is set once the front has refused a part, or not answered in time.
	failed bool
}

// BeginTranscript returns the recorder of a stream that begins.
func (m *Mesh) BeginTranscript(stream string) transcript.Recorder {
	return m.newTranscriptWriter(stream, 0)
}

func (m *Mesh) newTranscriptWriter(stream string, generation uint32) *transcriptWriter {
	return &transcriptWriter{mesh: m, stream: stream, generation: generation, number: rand.Uint64()}
}

// setHolders sets the fronts that hold the transcript.
func (w *transcriptWriter) setHolders(targets []target) {
	for _, t := range targets {
		w.holders, w.names = append(w.holders, &transcriptHolder{target: t}), append(w.names, t.name)
	}
}

// chooseHolders sets the holders of a transcript that begins. A front that is alone holds its own ones, for
// callers that take streams up there.
func (w *transcriptWriter) chooseHolders() {
	targets := w.mesh.transcriptTargets(w.stream)
	if len(targets) > 1 {
		targets = slices.DeleteFunc(targets, func(t target) bool { return t.name == w.mesh.config.Name })
	}
	w.setHolders(targets[:min(transcriptHolders, len(targets))])
}

// transcriptTargets returns this front and those alive in the order in which they hold a transcript.
func (m *Mesh) transcriptTargets(stream string) []target {
	return m.peers.byRendezvous(xxhash.Sum64String(stream), time.Now(), m.config.Domain)
}

// Append implements transcript.Recorder. An event that too few holders remember ends the transcript, of
// which a caller can't take the stream up then.
func (w *transcriptWriter) Append(ctx context.Context, eventID string, text []byte) error {
	if w.stopped {
		return nil
	}
	if len(w.holders) == 0 {
		w.chooseHolders()
	}
	if len(eventID) > transcript.MaxEventIDBytes {
		eventID = ""
	}
	err := error(transcript.Errorf("record transcript", transcript.KindUnavailable, "more than %d events", transcript.MaxEvents))
	if len(w.marks) < transcript.MaxEvents {
		w.marks = append(w.marks, transcript.Mark{EventID: eventID, End: len(text)})
		err = w.send(ctx, text)
	}
	if err == nil || transcript.KindOf(err) == transcript.KindSuperseded || ctx.Err() != nil {
		return err
	}
	w.stopped, w.marks = true, nil
	w.mesh.config.Logger.Warn("transcript of a stream ends", zap.String("stream", w.stream), zap.Uint32("generation", w.generation), zap.Int("bytes", len(text)), zap.Error(err))
	return nil
}

// send returns once a majority of the holders has the whole transcript. Errors are of package transcript.
func (w *transcriptWriter) send(ctx context.Context, text []byte) error {
	const op = "record transcript"
	results := make(chan error, len(w.holders))
	for _, h := range w.holders {
		go func(marks []transcript.Mark) { results <- w.sendTo(h, text, marks) }(w.marks)
	}
	var lastErr error
	for pending, stored := len(w.holders), 0; pending > 0; pending-- {
		select {
		case err := <-results:
			if transcript.KindOf(err) == transcript.KindSuperseded {
				return err
			}
			lastErr = cmp.Or(err, lastErr)
			if err == nil {
				stored++
			}
		case <-ctx.Done():
			return transcript.Errorf(op, transcript.KindUnavailable, "the request ended: %w", ctx.Err())
		}
		if stored == majority(len(w.holders)) {
			return nil
		}
	}
	return transcript.Errorf(op, transcript.KindUnavailable, "fewer than %d of %d fronts hold it: %w", majority(len(w.holders)), len(w.holders), lastErr)
}

// sendTo sends a holder what it lacks of a text and its marks. A front that failed before is left out.
func (w *transcriptWriter) sendTo(h *transcriptHolder, text []byte, marks []transcript.Mark) error {
	const op = "record transcript"
	h.mu.Lock()
	offset, failed := h.length, h.failed
	h.mu.Unlock()
	if failed {
		return transcript.Errorf(op, transcript.KindUnavailable, "front %s failed before", h.target.name)
	}
	state, err := w.mesh.keepTranscript(h.target, w.part(offset, text, marks))
	if err == nil && state.Generation > w.generation {
		return transcript.Errorf(op, transcript.KindSuperseded, "front %s holds generation %d, this is %d", h.target.name, state.Generation, w.generation)
	}
	if err == nil && (state.Generation != w.generation || state.Writer != w.number || state.Length < len(text)) {
		err = transcript.Errorf(op, transcript.KindUnavailable, "front %s holds %d of %d bytes, or another transcript", h.target.name, state.Length, len(text))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failed = true
		return err
	}
	h.length = max(h.length, len(text))
	return nil
}

// part returns what follows an offset in a text.
func (w *transcriptWriter) part(offset int, text []byte, marks []transcript.Mark) transcript.Part {
	first := sort.Search(len(marks), func(i int) bool { return marks[i].End > offset })
	return transcript.Part{Stream: w.stream, Generation: w.generation, Offset: offset, Text: text[offset:], Marks: marks[first:], Holders: w.names, Writer: w.number}
}

// keepTranscript has a front, which may be this one, keep a part of a transcript. The end of a request does
// not end this, as its caller may take the stream up then.
func (m *Mesh) keepTranscript(t target, p transcript.Part) (transcript.State, error) {
	if t.name == m.config.Name {
		return m.transcripts.Keep(p, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), transcriptTimeout)
	defer cancel()
	reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_KeepTranscript{KeepTranscript: &meshpb.KeepTranscript{Part: partToProto(p)}}}, transcriptTimeout)
	state := reply.GetTranscriptState()
	return transcript.State{Generation: state.GetGeneration(), Length: int(state.GetLength()), Writer: state.GetWriter()}, err
}

// ContinueTranscript returns the data of the events that the caller of a stream has received up to one, each
// followed by a newline, and the recorder of those that follow. From then on no earlier attempt adds to the
// transcript. Errors are of package transcript.
func (m *Mesh) ContinueTranscript(ctx context.Context, stream, eventID string) ([]byte, transcript.Recorder, error) {
	const op = "continue transcript"
	m.waitSettled(ctx)
	latest, err := m.findTranscript(ctx, stream)
	if err != nil {
		return nil, nil, err
	}
	marks, ok := transcript.UpTo(latest.Marks, eventID)
	if !ok {
		return nil, nil, transcript.Errorf(op, transcript.KindNotFound, "generation %d of stream %q, of %d bytes, has no event %q that a caller can have received last", latest.Generation, stream, len(latest.Text), eventID)
	}
	alive := map[string]target{m.config.Name: {name: m.config.Name}}
	for _, t := range m.peers.alive(time.Now()) {
		alive[t.name] = t
	}
	targets := make([]target, len(latest.Holders))
	for i, name := range latest.Holders {
		targets[i] = cmp.Or(alive[name], target{name: name})
	}
	w := m.newTranscriptWriter(stream, latest.Generation+1)
	w.setHolders(targets)
	w.marks = marks
	text := latest.Text[:marks[len(marks)-1].End]
	for _, h := range w.holders {
		h.failed = h.target.name != m.config.Name && h.target.address == ""
	}
	if err := w.send(ctx, text); err != nil {
		return nil, nil, err
	}
	m.config.Logger.Info("stream taken up", zap.String("stream", stream), zap.String("after", eventID), zap.Uint32("generation", w.generation), zap.Int("bytes", len(text)), zap.Strings("holders", w.names))
	return text, w, nil
}

// findTranscript returns the latest state of a transcript: a majority of its holders has answered with what
// they hold. Errors are of package transcript.
func (m *Mesh) findTranscript(ctx context.Context, stream string) (transcript.Part, error) {
	const op = "find transcript"
	type result struct {
		part transcript.Part
		from string
		ok   bool
		err  error
	}
	targets := m.transcriptTargets(stream)
	targets = targets[:min(transcriptSearch, len(targets))]
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() {
			part, ok, err := m.findTranscriptAt(ctx, t, stream)
			results <- result{part, t.name, ok, err}
		}()
	}
	var latest transcript.Part
	var lastErr error
	heldBy := map[string]bool{}
	for range targets {
		r := <-results
		lastErr = cmp.Or(r.err, lastErr)
		if !r.ok || !slices.Contains(r.part.Holders, r.from) {
			continue
		}
		heldBy[r.from] = true
		if len(heldBy) == 1 || r.part.Generation > latest.Generation || (r.part.Generation == latest.Generation && len(r.part.Text) > len(latest.Text)) {
			latest = r.part
		}
		if len(heldBy) >= majority(len(latest.Holders)) {
			return latest, nil
		}
	}
	if lastErr == nil {
		return latest, transcript.Errorf(op, transcript.KindNotFound, "%d of %d fronts know what the caller of stream %q has received", len(heldBy), len(latest.Holders), stream)
	}
	return latest, transcript.Errorf(op, transcript.KindUnavailable, "%d of %d fronts told what the caller of stream %q has received: %w", len(heldBy), len(latest.Holders), stream, lastErr)
}

// findTranscriptAt returns what a front, which may be this one, holds of a transcript, or false if it holds
// nothing.
func (m *Mesh) findTranscriptAt(ctx context.Context, t target, stream string) (transcript.Part, bool, error) {
	if t.name == m.config.Name {
		part, ok := m.transcripts.Find(stream, time.Now())
		return part, ok, nil
	}
	ctx, cancel := context.WithTimeout(ctx, transcriptTimeout)
	defer cancel()
	reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_FindTranscript{FindTranscript: &meshpb.FindTranscript{Stream: stream}}}, transcriptTimeout)
	part := partFromProto(reply.GetTranscript())
	if err == nil && !part.Valid() {
		err = transcript.Errorf("find transcript", transcript.KindUnavailable, "front %s replied with marks outside the text", t.name)
	}
	return part, err == nil && reply.GetTranscript() != nil, err
}

// handleFindTranscript replies with a transcript, or Done if this front has none.
func (h requestHandler) handleFindTranscript(r *meshpb.FindTranscript) error {
	part, ok := h.mesh.transcripts.Find(r.GetStream(), time.Now())
	if !ok {
		return h.replyDone(nil)
	}
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Transcript{Transcript: partToProto(part)}})
}

func partToProto(p transcript.Part) *meshpb.TranscriptPart {
	out := &meshpb.TranscriptPart{Stream: p.Stream, Generation: p.Generation, Offset: uint64(p.Offset), Text: p.Text, Holders: p.Holders, Writer: p.Writer}
	for _, m := range p.Marks {
		out.Marks = append(out.Marks, &meshpb.TranscriptMark{EventId: m.EventID, End: uint64(m.End)})
	}
	return out
}

func partFromProto(p *meshpb.TranscriptPart) transcript.Part {
	out := transcript.Part{Stream: p.GetStream(), Generation: p.GetGeneration(), Offset: int(p.GetOffset()), Text: p.GetText(), Holders: p.GetHolders(), Writer: p.GetWriter()}
	for _, m := range p.GetMarks() {
		out.Marks = append(out.Marks, transcript.Mark{EventID: m.GetEventId(), End: int(m.GetEnd())})
	}
	return out
}
