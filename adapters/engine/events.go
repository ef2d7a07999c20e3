package engine

import (
	"bytes"
	"io"

	"cyclamenhitch/core/result"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	eventDone = []byte("data: [DONE]")
	idField   = []byte(`"id":"`)
)

// eventStream yields whole server-sent events and verifies that all carry the
// same answer id and that the stream ends with [DONE].
type eventStream struct {
	*answer
	pending []byte
	out     []byte
	id      []byte
	done    bool
}

// Next implements gateway.Answer. A part holds one or more whole events.
func (s *eventStream) Next() ([]byte, error) {
	for {
		s.answer.got = 0 // a stream has no length limit of its own; events have
		part, err := s.answer.Next()
		if err == io.EOF {
			if !s.done || len(s.pending) > 0 {
				return nil, result.New(result.AnswerTruncated, "stream ended without [DONE]")
			}
			return nil, io.EOF
		}
		if err != nil {
			return nil, err
		}
		s.pending = append(s.pending, part...)
		end := bytes.LastIndex(s.pending, eventEnd)
		if end < 0 {
			if len(s.pending) > maxEventBytes {
				return nil, result.New(result.AnswerTooLarge, "one event is over %d bytes", maxEventBytes)
			}
			continue
		}
		end += len(eventEnd)
		s.out = append(s.out[:0], s.pending[:end]...)
		s.pending = append(s.pending[:0], s.pending[end:]...)
		if err := s.verify(s.out); err != nil {
			return nil, err
		}
		return s.out, nil
	}
}

func (s *eventStream) verify(events []byte) error {
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		ev := events[:end]
		events = events[end+len(eventEnd):]
		if s.done && bytes.HasPrefix(ev, []byte("data:")) {
			return result.New(result.AnswerInvalid, "event after [DONE]")
		}
		if bytes.Equal(ev, eventDone) {
			s.done = true
			continue
		}
		i := bytes.Index(ev, idField)
		if i < 0 {
			continue
		}
		id := ev[i+len(idField):]
		if j := bytes.IndexByte(id, '"'); j >= 0 {
			id = id[:j]
		}
		if s.id == nil {
			s.id = bytes.Clone(id)
		} else if !bytes.Equal(s.id, id) {
			return result.New(result.AnswerCrossed, "event of answer %q in the stream of answer %q", id, s.id)
		}
	}
	return nil
}
