package platform

import (
	"cmp"
	"encoding/json"
	"sort"

	"github.com/valyala/fasthttp"
)

// tableRequest holds the fields of PutItem, GetItem, Query and DeleteItem that
// the router uses.
type tableRequest struct {
	Item, Key                 item
	ExclusiveStartKey         item
	ConditionExpression       string
	ExpressionAttributeValues item
	Limit                     int
}

// maxPageRows is the most rows of one answer; the service's own limit is 1 MB.
const maxPageRows = 100

func (s *Server) handleTable(ctx *fasthttp.RequestCtx, op string) {
	var req tableRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		writeJSON(ctx, 400, map[string]string{"__type": "com.amazonaws.dynamodb.v20120810#SerializationException"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch op {
	case "PutItem":
		s.tableWrites.Add(1)
		s.putItem(ctx, &req)
	case "DeleteItem":
		s.tableWrites.Add(1)
		delete(s.rows[req.Key["pk"]["S"]], req.Key["sk"]["S"])
		writeJSON(ctx, 200, struct{}{})
	case "GetItem":
		s.tableReads.Add(1)
		out := map[string]any{}
		if it, ok := s.rows[req.Key["pk"]["S"]][req.Key["sk"]["S"]]; ok {
			out["Item"] = it
		}
		writeJSON(ctx, 200, out)
	case "Query":
		s.tableReads.Add(1)
		s.query(ctx, &req)
	default:
		writeJSON(ctx, 400, map[string]string{"__type": "com.amazonaws.dynamodb.v20120810#UnknownOperationException"})
	}
}

// conditionHolds evaluates the two conditions that the router uses.
func conditionHolds(req *tableRequest, old item, exists bool) bool {
	switch req.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(pk)":
		return !exists
	case "ver = :v":
		return exists && old["ver"]["N"] == req.ExpressionAttributeValues[":v"]["N"]
	}
	return false
}

func (s *Server) putItem(ctx *fasthttp.RequestCtx, req *tableRequest) {
	pk, sk := req.Item["pk"]["S"], req.Item["sk"]["S"]
	old, exists := s.rows[pk][sk]
	if !conditionHolds(req, old, exists) {
		writeJSON(ctx, 400, map[string]string{
			"__type":  "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException",
			"message": "The conditional request failed",
		})
		return
	}
	if s.rows[pk] == nil {
		s.rows[pk] = map[string]item{}
	}
	s.rows[pk][sk] = req.Item
	writeJSON(ctx, 200, struct{}{})
}

func (s *Server) query(ctx *fasthttp.RequestCtx, req *tableRequest) {
	from := req.ExpressionAttributeValues[":s"]["S"]
	var keys []string
	part := s.rows[req.ExpressionAttributeValues[":p"]["S"]]
	after := req.ExclusiveStartKey["sk"]["S"]
	for sk := range part {
		if sk >= from && sk > after {
			keys = append(keys, sk)
		}
	}
	sort.Strings(keys)
	more := false
	if n := min(cmp.Or(req.Limit, maxPageRows), maxPageRows); len(keys) > n {
		keys, more = keys[:n], true
	}
	items := make([]item, len(keys))
	for i, sk := range keys {
		items[i] = part[sk]
	}
	out := map[string]any{"Items": items, "Count": len(items), "ScannedCount": len(items)}
	if last := len(keys) - 1; more {
		out["LastEvaluatedKey"] = item{"pk": items[last]["pk"], "sk": items[last]["sk"]}
	}
	writeJSON(ctx, 200, out)
}
