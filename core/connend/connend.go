// Package connend decides whether a response without a length is complete. Such a response
// ends with its connection, and the kernel of a host also ends the connections of a process
// that was killed, in the same way. A response is complete only if something shows that the
// process that sent it ran on after the end. It has no state.
package connend

// Contact is the outcome of asking the server for a report after the connection has ended.
type Contact int

const (
	// Unasked means that the server was not asked.
	Unasked Contact = iota
	// Answered means that a process at the server's address answered.
	Answered
	// Refused means that the server's host is up and no process listens at the address.
	Refused
	// Silent means that there was no usable answer within the time limit.
	Silent
)

// Evidence is what is known of a response whose connection has ended in order. Starts of
// processes are in Unix ms on the server's clock, 0 if unknown. They identify a process and are
// only compared for equality: the clocks of two hosts may differ, and a clock may be set back.
type Evidence struct {
	Contact Contact
	// StartMillis is the start that the report states.
	StartMillis int64
	// EntryMillis is the start that the server's entry stated before the request was sent,
	// ReportMillis the one that a report from the address stated before that.
	EntryMillis, ReportMillis int64
	// RunListed is set if the report lists the run of the request.
	RunListed bool
	// EventsMade is the number of events of the response that the server reports to have made,
	// -1 if it reports none. Events is the number that was received.
	EventsMade, Events int
	// Leaving is set if the server had announced that it leaves, or its entry was removed.
	Leaving bool
}

// Verdict is whether a response is complete.
type Verdict int

const (
	// Complete means that the server ended the response.
	Complete Verdict = iota
	// Cut means that the response ended before its end, or that its process is gone.
	Cut
	// Undecided means that the evidence shows neither. Such a response is not complete.
	Undecided
)

func (v Verdict) String() string { return [...]string{"complete", "cut", "undecided"}[v] }

// Reason is what led to a verdict, as logged and counted.
type Reason string

// Reasons of verdicts.
const (
	// ServerRuns means that the process that sent the response still runs.
	ServerRuns Reason = "server_runs"
	// ServerRestarted means that another process runs at the address.
	ServerRestarted Reason = "server_restarted"
	// ServerGone means that the server's process has ended without notice.
	ServerGone Reason = "server_gone"
	// ServerLeft means that the server's process has ended as announced, and could not be asked
	// whether it had ended the response before.
	ServerLeft Reason = "server_left"
	// MoreEvents means that the server has made events that were not received.
	MoreEvents Reason = "more_events"
	// NoContact means that the server did not answer.
	NoContact Reason = "no_contact"
	// StartUnknown means that a process answers, and that nothing shows whether it is the one
	// that sent the response.
	StartUnknown Reason = "start_unknown"
)

// Judge returns whether a response is complete, and why.
func Judge(e Evidence) (Verdict, Reason) {
	switch e.Contact {
	case Answered:
		return judgeAnswered(e)
	case Refused:
		if e.Leaving {
			return Undecided, ServerLeft
		}
		return Cut, ServerGone
	}
	return Undecided, NoContact
}

func judgeAnswered(e Evidence) (Verdict, Reason) {
	switch {
	case e.EventsMade > e.Events:
		return Cut, MoreEvents
	case e.RunListed, e.StartMillis != 0 && (e.StartMillis == e.EntryMillis || e.StartMillis == e.ReportMillis):
		return Complete, ServerRuns
	case e.StartMillis == 0 || e.EntryMillis == 0 && e.ReportMillis == 0:
		return Undecided, StartUnknown
	}
	return Cut, ServerRestarted
}
