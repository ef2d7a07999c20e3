package placement

import "cyclamenhitch/core/fleet"

// hashOrder ranks the servers by rendezvous hash for the request's key and returns
// maxRanks for all servers after the first ones. All instances compute the same order
// without communication.
func hashOrder(servers []*serverState, req *Request) []int {
	key := req.Key
	if n := len(req.Parts); n > 1 {
		key = req.Parts[n-2].ID // the last part is unique to the request
	} else if n == 1 {
		key = req.Parts[0].ID
	}
	order := make([]int, len(servers))
	var best [maxRanks]uint64
	var at [maxRanks]int
	found := 0
	for i, s := range servers {
		order[i] = maxRanks
		score := fleet.Mix(key, s.hash)
		pos := found
		for pos > 0 && best[pos-1] < score {
			pos--
		}
		if pos == maxRanks {
			continue
		}
		found = min(found+1, maxRanks)
		copy(best[pos+1:found], best[pos:found-1])
		copy(at[pos+1:found], at[pos:found-1])
		best[pos], at[pos] = score, i
	}
	for r := range found {
		order[at[r]] = r
	}
	return order
}
