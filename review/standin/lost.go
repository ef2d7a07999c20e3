package main

// lostOnKept counts, for each instance, the requests that it passed on from a kept connection
// to a runner and whose connection ended without an answer while the instance was in touch.
// It reports whether some instance has more than three, the bound of the rule LOST.
func lostOnKept(fleet []*instance, outcomes []*outcome, runs *runLog) (total, excused int, broken bool) {
	byCaller := map[string]*instance{}
	for _, in := range fleet {
		byCaller[in.caller] = in
	}
	count := map[string]int{}
	for _, o := range outcomes {
		ran := runs.of(o.id)
		if o.whole || o.status != 0 || !o.kept || len(ran) == 0 {
			continue
		}
		if !byCaller[o.instance].inTouch(o.ended) || o.ended.Sub(o.sent) >= o.deadline {
			excused++
			continue
		}
		total++
		count[o.instance]++
		note("lost: request %s on a kept connection to %s ran at %s %.3f s after it was sent, the connection ended without an answer after %.3f s: %v",
			o.id, byCaller[o.instance].name, ran[0].runner, ran[0].at.Sub(o.sent).Seconds(), o.ended.Sub(o.sent).Seconds(), o.err)
	}
	for _, in := range fleet {
		note("%s: %d requests lost", in.name, count[in.caller])
		broken = broken || count[in.caller] > lostBound
	}
	return total, excused, broken
}

// lostBound is how many such requests the rule bears.
const lostBound = 3
