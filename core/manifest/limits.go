package manifest

import (
	"math"
	"strconv"

	"cyclamenhitch/core/tomlpos"
)

// Limit is the accepted range of a number.
type Limit struct {
	Min, Max float64
	// AboveMin and BelowMax exclude the bounds.
	AboveMin, BelowMax bool
	Unit               string
}

// Limits are the accepted ranges by table and key. docs/operators.md is
// generated from them.
var Limits = map[string]Limit{
	"fleet.weight_loads_per_minute":        {Min: 1, Max: 100000, Unit: "loads/min"},
	"fleet.keep_seconds":                   {Min: 1, Max: 600, Unit: "s"},
	"pool.load_bound":                      {Min: 1, Max: 100, Unit: "multiple of the mean"},
	"pool.expected_output_tokens":          {Min: 1, Max: math.MaxInt32, Unit: "tokens"},
	"pool.cold_start_load":                 {Min: 1, Max: math.MaxInt32, Unit: "tokens"},
	"pool.cold_start_seconds":              {Min: 1, Max: math.MaxInt32, Unit: "s"},
	"pool.silence_seconds":                 {Min: 1, Max: math.MaxInt32, Unit: "s"},
	"pool.timeout_seconds":                 {Min: 1, Max: math.MaxInt32, Unit: "s"},
	"pool.retry_percent":                   {Min: 1, Max: 100, Unit: "% of requests"},
	"pool.objectives.first_token_ms":       {Min: 1, Max: math.MaxInt32, Unit: "ms"},
	"pool.objectives.between_tokens_ms":    {Min: 1, Max: math.MaxInt32, Unit: "ms"},
	"pool.objectives.availability_percent": {Max: 100, AboveMin: true, BelowMax: true, Unit: "%"},
	"pool.objectives.refused_percent":      {Max: 100, AboveMin: true, Unit: "%"},
	"server.weight":                        {Max: 100, AboveMin: true},
	"server.max_load_tokens":               {Max: math.MaxInt32, Unit: "tokens"},
	"server.cache_tokens":                  {Max: math.MaxInt32, Unit: "tokens"},
	"account.weight":                       {Max: 1e6, AboveMin: true},
	"account.priority":                     {Max: 9},
	"account.max_concurrent":               {Max: math.MaxInt32, Unit: "requests"},
}

// String formats the range.
func (l Limit) String() string {
	s := strconv.FormatFloat(l.Min, 'f', -1, 64)
	if l.AboveMin {
		s = "above " + s
	}
	to := " to "
	if l.BelowMax {
		to = ", below "
	}
	return s + to + strconv.FormatFloat(l.Max, 'f', -1, 64)
}

func (l Limit) contains(v float64) bool {
	switch {
	case math.IsNaN(v) || v < l.Min || v > l.Max:
		return false
	case l.AboveMin && v == l.Min:
		return false
	}
	return !l.BelowMax || v < l.Max
}

// checkNumber checks a number of the index-th entry of a table against its limit.
func (c *checker) checkNumber(table string, index int, key string, v float64) {
	if l := Limits[table+"."+key]; !l.contains(v) {
		c.reportf(table, index, key, "%s is %s, accepted range: %s", key, strconv.FormatFloat(v, 'f', -1, 64), l)
	}
}

// checkFleetNumber does the same for the table fleet, which has one entry.
func (c *checker) checkFleetNumber(key string, v float64) {
	if l := Limits["fleet."+key]; !l.contains(v) {
		c.reportAt([]string{"fleet." + key}, "%s is %s, accepted range: %s", key, strconv.FormatFloat(v, 'f', -1, 64), l)
	}
}

// keyPaths lists the places of a key: the key itself or, when it is not set, the entry.
func keyPaths(table string, index int, key string) []string {
	return []string{tomlpos.ElementPath(table, index, key), tomlpos.ElementPath(table, index, "")}
}
