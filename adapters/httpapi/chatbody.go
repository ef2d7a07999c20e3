package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"unicode/utf8"
)

// chatBody holds the fields of a chat-completions request that routing needs.
type chatBody struct {
	model               string
	stream              bool
	maxTokens           int
	maxCompletionTokens int
	// prefix is the bytes of the messages up to the first one of the user: they
	// stay the same in each later turn of a chat.
	prefix []byte
}

var errNotObject = errors.New("want a JSON object")

// scanChat reads the fields of a body in one pass. Decoding into structs takes
// two passes and about 20 allocations, which long prompts feel most.
func scanChat(body []byte) (chatBody, error) {
	var b chatBody
	if !json.Valid(body) {
		return b, errors.New("not valid JSON")
	}
	i := skipSpace(body, 0)
	if i == len(body) || body[i] != '{' {
		return b, errNotObject
	}
	var err error
	forEachMember(body, i, func(name, value []byte) bool {
		switch string(name) {
		case "model":
			err = decodeString(value, &b.model)
		case "stream":
			b.stream, err = decodeBool(value)
		case "max_tokens":
			b.maxTokens, err = decodeInt(value)
		case "max_completion_tokens":
			b.maxCompletionTokens, err = decodeInt(value)
		case "messages":
			b.prefix, err = promptPrefix(value)
		}
		return err == nil
	})
	return b, err
}

// decodeString decodes a string. A decoder for one value costs 4 allocations, which a
// name without escapes does not need.
func decodeString(value []byte, dst *string) error {
	if n := len(value); n > 1 && value[0] == '"' && bytes.IndexByte(value, '\\') < 0 && utf8.Valid(value) {
		*dst = string(value[1 : n-1])
		return nil
	}
	return json.Unmarshal(value, dst)
}

func decodeBool(value []byte) (bool, error) {
	switch string(value) {
	case "true":
		return true, nil
	case "false", "null":
		return false, nil
	}
	return false, errors.New("want true or false")
}

func decodeInt(value []byte) (int, error) {
	if string(value) == "null" {
		return 0, nil
	}
	return strconv.Atoi(string(value))
}

// promptPrefix returns the part of the array that ends with the first message
// of the user.
func promptPrefix(value []byte) ([]byte, error) {
	if string(value) == "null" {
		return nil, nil
	}
	if value[0] != '[' {
		return nil, errors.New("messages: want an array")
	}
	for i := skipSpace(value, 1); value[i] != ']'; {
		if value[i] != '{' {
			return nil, errors.New("messages: want objects")
		}
		user := false
		forEachMember(value, i, func(name, v []byte) bool {
			if string(name) == "role" {
				user = string(v) == `"user"`
			}
			return true
		})
		i = skipValue(value, i)
		if user {
			return value[:i], nil
		}
		if i = skipSpace(value, i); value[i] == ',' {
			i = skipSpace(value, i+1)
		}
	}
	return value, nil
}

// forEachMember calls f with the name and the value of each member of the object that
// begins at i of valid JSON, until f returns false.
func forEachMember(data []byte, i int, f func(name, value []byte) bool) {
	for i = skipSpace(data, i+1); data[i] == '"'; {
		end := skipValue(data, i)
		name := data[i+1 : end-1]
		i = skipSpace(data, skipSpace(data, end)+1) // the colon
		end = skipValue(data, i)
		if !f(name, data[i:end]) {
			return
		}
		if i = skipSpace(data, end); data[i] == ',' {
			i = skipSpace(data, i+1)
		}
	}
}

func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\n' || data[i] == '\t' || data[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the end of the value that begins at i of valid JSON.
func skipValue(data []byte, i int) int {
	depth := 0
	for i < len(data) {
		switch data[i] {
		case '"':
			i = stringEnd(data, i+1)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',', ':', ' ', '\n', '\t', '\r':
		default:
			for i+1 < len(data) && !bytes.ContainsRune([]byte(",]} \n\t\r"), rune(data[i+1])) {
				i++
			}
		}
		i++
		if depth == 0 {
			return i
		}
	}
	return i
}

// stringEnd returns the position of the quote that ends a string of valid JSON.
func stringEnd(data []byte, i int) int {
	for data[i] != '"' {
		if data[i] == '\\' {
			i++
		}
		i++
	}
	return i
}
