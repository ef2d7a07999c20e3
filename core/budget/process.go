package budget

import "fmt"

const (
	// responsePercent is the part of a process's memory for the bodies of responses under
	// way. The collector may let the heap grow to twice what is in use, and requests,
	// connections and the tables of the fleet need the rest.
	responsePercent = 20
	// baseBytes is what an instance needs beside bodies: code, tables of the fleet and
	// connections. bodyPercent is the part of the rest for the bodies of requests, from the
	// read to the end of the request; minBodyBytes has room for the largest.
	baseBytes    = 64 << 20
	bodyPercent  = 40
	minBodyBytes = 16 << 20
)

// Process is what one process may hold.
type Process struct {
	*Descriptors
	// Bodies is for the bodies of requests, Responses for those of responses.
	Bodies    *Bodies
	Responses *Bytes
	// Reading is for requests that callers have begun to send, in requests.
	Reading *Reading
	// Unread is for what callers send while their request runs.
	Unread *Bytes
}

// NewProcess divides the limit of open files and the memory, in bytes, of a process.
func NewProcess(descriptors int, memory int64) *Process {
	return &Process{
		Descriptors: NewDescriptors(descriptors),
		Bodies:      NewBodies(max(minBodyBytes, (memory-baseBytes)*bodyPercent/100)),
		Reading:     NewReading(max(minReading, (memory-baseBytes)*readingPercent/100/readingBytes)),
		Responses:   NewBytes(memory * responsePercent / 100),
		Unread:      NewBytes(max(minUnreadCalls*UnreadBytes, (memory-baseBytes)*unreadCallPercent/100)),
	}
}

// Lines describes the shares, one a line.
func (p *Process) Lines() []string {
	var lines []string
	for _, s := range p.Shares() {
		lines = append(lines, fmt.Sprintf("descriptors of %s: %d", s.Name, s.Limit()))
	}
	return append(lines,
		fmt.Sprintf("descriptors of callers, servers and tunnels together: %d", p.Callers.common.limit),
		fmt.Sprintf("bytes of request bodies: %d, of long ones %d", p.Bodies.Limit(), p.Bodies.long.limit),
		fmt.Sprintf("requests that are being read: %d", p.Reading.Limit()),
		fmt.Sprintf("bytes of response bodies: %d", p.Responses.Limit()),
		fmt.Sprintf("unread bytes of callers whose request runs: %d", p.Unread.Limit()))
}
