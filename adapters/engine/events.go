package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/verdict"
)

const (
	// maxEventBytes limits one server-sent event and therefore the memory of a stream.
	maxEventBytes = 32 << 10
	// initialEventBufferBytes is the initial buffer size of a stream; a typical event
	// has less than 300 bytes.
	initialEventBufferBytes = 1024
	// maxResumes limits how often one stream is resumed.
	maxResumes = 3
)

var (
	doneData  = []byte("[DONE]")
	doneEvent = []byte("data: [DONE]\n\n")
)

// eventStream returns complete server-sent events and validates that they belong to
// the response and that the stream ends with [DONE]. It returns [DONE] only after it
// has validated the end of the body, so a caller that stops reading there has a
// complete response.
type eventStream struct {
	*response
	buf        []byte // unread bytes; the first returned ones were returned by Next
	returned   int
	scanned    int // leading bytes of buf already searched for the end of an event
	id         []byte
	done       bool
	endReached bool
	err        error
	first      []byte // the first part, until Next returns it

	// numbered is set while the event ids are increasing numbers. consecutive is set while
	// each of them is known to be the one before plus 1: only then a resumed stream shows
	// whether an event is missing.
	numbered, consecutive bool
	lastEventID, count    int
	resumes               int
}

// openStream waits for the first events, so that a failure before them can be
// retried and reported with its own HTTP status. A stream without events is complete: a server
// has none after the last event of a stream that is resumed there.
func openStream(r *response) (gateway.Response, error) {
	s := &eventStream{response: r, buf: make([]byte, 0, initialEventBufferBytes)}
	r.stream = s
	first, err := s.next()
	if err == io.EOF && r.declared == -2 && !r.endDecided {
		err = result.New(result.AnswerTruncated, "the connection ended before the first event")
	}
	if err != nil && err != io.EOF {
		s.Close()
		return nil, err
	}
	s.first = first
	return s, nil
}

var _ gateway.Response = (*eventStream)(nil)

// Next implements gateway.Response. Each part holds one or more complete events.
func (s *eventStream) Next() ([]byte, error) {
	if first := s.first; first != nil {
		s.first = nil
		return first, nil
	}
	return s.next()
}

func (s *eventStream) next() ([]byte, error) {
	if s.returned > 0 {
		n := copy(s.buf, s.buf[s.returned:])
		s.buf, s.scanned, s.returned = s.buf[:n], s.scanned-s.returned, 0
	}
	for s.err == nil {
		part, err := s.takeEvents()
		s.err = err
		if len(part) > 0 {
			return part, nil
		}
		if s.err == nil {
			s.err = s.fill()
		}
		if s.err == io.EOF && !s.endReached {
			s.endReached = true
			s.err = s.verifyEnd()
			if s.err == io.EOF && !s.opaque() {
				return doneEvent, nil
			}
			if s.err != io.EOF && s.tryResume(result.As(s.err)) {
				s.endReached, s.err = false, nil
			}
		}
	}
	return nil, s.err
}

func (s *eventStream) verifyEnd() error {
	if s.opaque() && len(s.buf) == 0 {
		return io.EOF
	}
	if s.opaque() {
		return result.New(result.AnswerTruncated, "stream ended inside an event")
	}
	if !s.done || len(bytes.TrimSpace(s.buf)) > 0 {
		return result.New(result.AnswerTruncated, "stream ended without [DONE]")
	}
	return io.EOF
}

// takeEvents validates the complete events in the buffer and returns those before
// [DONE] or before the first invalid one.
func (s *eventStream) takeEvents() ([]byte, error) {
	start, before := 0, s.count
	defer func() {
		if s.count > before {
			s.conn.readBudget = s.bodyReadBudget()
		}
	}()
	for {
		end := eventEnd(s.buf, s.scanned)
		if end < 0 {
			// The last 3 bytes may be the start of an event terminator.
			s.scanned = max(start, len(s.buf)-3)
			break
		}
		done, err := s.verify(s.buf[start:end])
		if err != nil {
			s.returned = start
			return s.buf[:start], err
		}
		s.scanned = end
		if done {
			// Keep only the bytes after [DONE]; a valid stream has none.
			s.done = true
			copy(s.buf[start:], s.buf[end:])
			s.buf = s.buf[:len(s.buf)-(end-start)]
			s.scanned = start
			continue
		}
		start = end
	}
	s.returned = start
	return s.buf[:start], nil
}

// eventEnd returns the position after the next blank line at or after from, or -1.
// Lines end with LF or CRLF.
func eventEnd(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		i += j
		switch {
		case i+1 < len(b) && b[i+1] == '\n':
			return i + 2
		case i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n':
			return i + 3
		}
	}
	return -1
}

// verify validates one event and reports whether it is [DONE].
func (s *eventStream) verify(event []byte) (done bool, err error) {
	if s.opaque() {
		return false, s.verifyOpaque(event)
	}
	var data []byte
	parts, before := 0, s.count
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "":
			if len(line) > 0 {
				s.conn.monitor.KeepAlive = true
				s.conn.host.sendsKeepAlive.Store(true)
			}
		case "data":
			if parts++; parts > 1 {
				data = append(append(bytes.Clone(data), '\n'), value...)
			} else {
				data = value
			}
		case "id":
			if err := s.checkEventID(value); err != nil {
				return false, err
			}
		case "event":
			if string(value) == "error" {
				return false, result.New(result.ServerError, "server %s sent an error event", s.x.srv.Name)
			}
		}
	}
	switch {
	case parts == 0:
		return false, nil
	case s.done:
		return false, result.New(result.AnswerInvalid, "event after [DONE]")
	case bytes.Equal(data, doneData):
		return true, nil
	case !json.Valid(data):
		return false, result.New(result.AnswerInvalid, "event is not valid JSON")
	}
	if s.count == before {
		// After an event without an id the stream cannot be resumed.
		if s.resumes > 0 {
			return false, result.New(result.AnswerInvalid, "event without an id after resuming")
		}
		s.count++
		s.stopNumbering()
	}
	if err := s.x.verifyObject(data, s.id); err != nil {
		return false, err
	}
	if s.id == nil {
		id, _ := scanObject(data)
		s.id = bytes.Clone(id)
	}
	return false, nil
}

// checkEventID validates an event id. Ids increase by any steps. After the stream was
// resumed they must be consecutive, because another id means that events are missing or
// come twice.
func (s *eventStream) checkEventID(value []byte) error {
	n, err := strconv.Atoi(string(value))
	s.count++
	switch {
	case s.resumes > 0 && (err != nil || n != s.lastEventID+1):
		return result.Wrap(result.AnswerInvalid, fmt.Errorf("event %.200q", value), "event %d is not followed by the next one in a resumed stream", s.lastEventID)
	case s.count == 1 && err == nil && !s.follows(n):
		return result.Wrap(result.AnswerInvalid, fmt.Errorf("event %.200q", value), "a stream resumed after event %.200q begins with an earlier one", s.x.req.LastEventID)
	case s.count == 1 && err == nil:
		s.numbered, s.consecutive = true, s.isFirstEventID(n)
	case !s.numbered || err != nil:
		s.stopNumbering()
		return nil
	case n <= s.lastEventID:
		return result.Wrap(result.AnswerInvalid, fmt.Errorf("event %.200q", value), "event %d is followed by an earlier one", s.lastEventID)
	default:
		s.consecutive = n == s.lastEventID+1 && (s.consecutive || s.count == 2)
	}
	s.lastEventID = n
	s.setResumable(s.consecutive && s.resumes < maxResumes)
	return nil
}

// follows reports whether id n may come after the last event that the caller has.
func (s *eventStream) follows(n int) bool {
	last, err := strconv.Atoi(s.x.req.LastEventID)
	return err != nil || n > last
}

// isFirstEventID reports whether a stream whose ids are consecutive begins with id n. With
// another first id the step between the ids is known only after the second event.
func (s *eventStream) isFirstEventID(n int) bool {
	if last, err := strconv.Atoi(s.x.req.LastEventID); err == nil {
		return n == last+1
	}
	return n == 0 || n == 1
}

// stopNumbering ends the checks of event ids after an event without a usable id. The stream
// can no longer be resumed.
func (s *eventStream) stopNumbering() {
	s.numbered, s.consecutive = false, false
	s.setResumable(false)
}

// fill reads more bytes of the stream. If the connection is silent or broken and the
// stream can be resumed, it continues on a new connection.
func (s *eventStream) fill() error {
	if len(s.buf) == cap(s.buf) {
		if len(s.buf) >= maxEventBytes {
			return result.New(result.AnswerTooLarge, "event is over %d bytes", maxEventBytes)
		}
		s.buf = append(make([]byte, 0, 2*cap(s.buf)), s.buf...)
	}
	n, err := s.read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	if err == nil || err == io.EOF {
		return err
	}
	switch e := result.As(err); {
	case s.tryResume(e):
		return nil
	case s.isCompleteLater():
		return io.EOF
	default:
		return e
	}
}

// tryResume continues a broken stream, if it can be resumed, and reports whether it did.
func (s *eventStream) tryResume(cause *result.Error) bool {
	return verdict.Judge(verdict.Of(cause)).Resumable && s.resumable() && s.resumes < maxResumes && s.resume(cause)
}

// setResumable states whether the stream can be resumed if its connection is lost.
func (s *eventStream) setResumable(can bool) {
	s.conn.monitor.Resumable = can
	s.conn.watchLink = can && s.resumable()
}

func (s *eventStream) opaque() bool { return s.x.client.dialect().Opaque }

func (s *eventStream) resumable() bool {
	return s.consecutive && (!s.opaque() || s.x.req.Resumable)
}

// verifyOpaque validates only the id of an event. After a stream was resumed each event
// must have one: whatever else the next server sends does not belong to the stream.
func (s *eventStream) verifyOpaque(event []byte) error {
	data, comment := false, true
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch string(name) {
		case "id":
			return s.checkEventID(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			data = true
		}
		comment = comment && len(name) == 0
	}
	if s.resumes > 0 && !comment {
		return result.New(result.AnswerInvalid, "server %s sent an event without an id in a resumed stream", s.x.srv.Name)
	}
	if data {
		s.count++
		s.stopNumbering()
	}
	return nil
}

// resume sends the request again to continue the stream after its last complete event.
func (s *eventStream) resume(cause error) bool {
	s.response.Close()
	s.resumes++
	if !s.selectNext(cause) {
		return false
	}
	s.sentAgain = true
	r, err := s.x.send(strconv.Itoa(s.lastEventID), !s.opaque())
	if err == nil && !r.isEventStream() {
		r.Close()
		err = result.New(result.AnswerInvalid, "server %s continued a stream with status %d and no events", s.x.srv.Name, r.status)
	}
	if err == nil {
		if err = s.x.req.VerifyServer(); err != nil {
			r.Close()
		}
	}
	if err != nil {
		if s.x.req.OnFailoverError != nil {
			s.x.req.OnFailoverError(err)
		}
		return false
	}
	s.client().ResumedStreams.Add(1)
	r.stream = s
	s.response, s.buf, s.scanned, s.done = r, s.buf[:0], 0, false
	s.setResumable(s.resumes < maxResumes)
	return true
}

// selectNext selects the server that continues the stream, and reports false if there is none. It
// selects another one if the process at a server may have another version than the stream.
func (s *eventStream) selectNext(cause error) bool {
	for {
		if s.x.req.Failover != nil {
			srv, err := s.x.req.Failover(cause)
			if err != nil {
				return false
			}
			s.x.srv = srv
		}
		if cause = s.x.confirmServer(); cause == nil || s.x.req.Failover == nil {
			return cause == nil
		}
	}
}

func (s *eventStream) client() *Client { return s.x.client }
