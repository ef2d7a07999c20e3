package hardload

import "time"

// Class is a kind of request.
type Class struct {
	Name string
	// Priority is 0 for the class that goes first.
	Priority int
	// Share is the part of all requests.
	Share float64
	// Work is the mean time in a slot at speed 1.
	Work time.Duration
	// Target is the time in which the response counts as in time, Deadline when the caller
	// gives up; both from the first send.
	Target, Deadline time.Duration
	// LateValue is the value of a late response; one in time has 1.
	LateValue float64
}

// Scenario is a load.
type Scenario struct {
	Classes []Class
	// Accounts have demand in proportion to 1, 1/2, 1/3 and so on; the last Surging ones ask
	// for SurgeFactor times their share while the surge lasts.
	Accounts, Surging int
	SurgeFactor       float64
	// Servers run Slots requests each and queue further Queue.
	Servers, Slots, Queue int
	// Speed returns the speed of a server at a time since the start; nil means 1.
	Speed func(server int, at time.Duration) float64
	// Instances report each ReportInterval; reports arrive ReportDelay later.
	Instances                   int
	ReportInterval, ReportDelay time.Duration
	// Calm is the demand relative to the capacity before the surge and Shortage in it.
	Calm, Shortage float64
	// The surge lasts from SurgeStart to End. Only requests of that time are counted.
	SurgeStart, End time.Duration
	// OutageEnd, unless 0, is the end of an outage of all instances from SurgeStart on.
	OutageEnd time.Duration
	// Eager is the part of callers that retry at once and up to three times.
	Eager float64
	Seed  uint64
}

// Capacity is the number of requests per second that the servers complete at speed 1.
func (s *Scenario) Capacity() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
	}
	return float64(s.Servers*s.Slots) / work
}

// PlainService returns a scenario with two classes of requests of the same work to a small
// pool of plain servers with 6 slots and a queue of 24, and two of 24 accounts that surge.
func PlainService(instances, servers int, work, target, deadline time.Duration, shortage float64, seed uint64) *Scenario {
	return &Scenario{
		Classes: []Class{
			{Name: "first", Priority: 2, Share: 0.7, Work: work, Target: target, Deadline: deadline, LateValue: 0.1},
			{Name: "second", Priority: 5, Share: 0.3, Work: work, Target: target, Deadline: deadline, LateValue: 0.1},
		},
		Accounts: 24, Surging: 2, SurgeFactor: 8,
		Servers: servers, Slots: 6, Queue: 24,
		Instances: instances, ReportInterval: 200 * time.Millisecond, ReportDelay: 100 * time.Millisecond,
		Calm: 0.5, Shortage: shortage, SurgeStart: 2 * time.Second, End: 8 * time.Second,
		Eager: 0.2, Seed: seed,
	}
}
