package quarantine

import "sync"

const (
	// answeredShards and answeredPerShard bound the parts remembered as answered, at some 1 MB.
	answeredShards   = 16
	answeredPerShard = 1024
)

// answeredParts remembers which parts engines answered recently. New parts push out those
// that were not answered for the longest time, in two generations.
type answeredParts struct {
	shards [answeredShards]struct {
		mu       sync.Mutex
		new, old map[PartKey]struct{}
	}
}

func (a *answeredParts) add(key PartKey) {
	s := &a.shards[key.ID%answeredShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.new[key]; ok {
		return
	}
	if s.new == nil || len(s.new) >= answeredPerShard {
		s.old, s.new = s.new, make(map[PartKey]struct{}, answeredPerShard)
	}
	s.new[key] = struct{}{}
}

func (a *answeredParts) has(key PartKey) bool {
	s := &a.shards[key.ID%answeredShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.new[key]
	if !ok {
		_, ok = s.old[key]
	}
	return ok
}
