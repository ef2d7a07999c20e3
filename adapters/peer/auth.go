// Package peer implements RPC between instances: it serves twirp handlers on a
// fasthttp server, and authenticates calls and answers with the shared key. It owns
// the connections between peers.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// timestampBytes is the size of a call's timestamp, big-endian ms since 1970.
	timestampBytes = 6
	// macBytes is the size of an untruncated HMAC-SHA256.
	macBytes = sha256.Size
	// callAuthBytes is the size of the timestamp and HMAC that precede the message in
	// the body of a call. An answer has only the HMAC. In the body they need no text
	// encoding and no header line.
	callAuthBytes = timestampBytes + macBytes
)

// authWindow limits the age of a signed call plus the clock difference between the
// instances.
const authWindow = 30 * time.Second

// Domain separation bytes, so that the HMAC of a call is not valid for an answer.
const (
	callDomain   = 'c'
	answerDomain = 'a'
)

// sign appends the timestamp and HMAC of a call to dst.
func sign(dst, key []byte, path string, message []byte, now time.Time) []byte {
	var timestamp [8]byte
	binary.BigEndian.PutUint64(timestamp[:], uint64(now.UnixMilli())<<16)
	dst = append(dst, timestamp[:timestampBytes]...)
	return callMAC(dst, key, timestamp[:timestampBytes], path, message)
}

func callMAC(dst, key, timestamp []byte, path string, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{callDomain})
	h.Write(timestamp)
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(message)
	return h.Sum(dst)
}

// verify splits the body of a call into authentication data and message, and reports
// whether the HMAC is valid and the timestamp within authWindow.
func verify(key []byte, path string, body []byte, now time.Time) (auth, message []byte, ok bool) {
	if len(body) < callAuthBytes {
		return nil, nil, false
	}
	auth, message = body[:callAuthBytes], body[callAuthBytes:]
	var timestamp [8]byte
	copy(timestamp[8-timestampBytes:], auth)
	age := now.Sub(time.UnixMilli(int64(binary.BigEndian.Uint64(timestamp[:]))))
	if age > authWindow || age < -authWindow {
		return nil, nil, false
	}
	var sum [macBytes]byte
	return auth, message, hmac.Equal(auth[timestampBytes:], callMAC(sum[:0], key, auth[:timestampBytes], path, message))
}

// signAnswer appends the HMAC of an answer to dst. It covers the timestamp and HMAC of
// the call, so that an answer cannot be replayed for another call. A process that took
// over an instance's address cannot answer without the key.
func signAnswer(dst, key, callAuth []byte, status int, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{answerDomain})
	h.Write(callAuth)
	h.Write([]byte{byte(status >> 8), byte(status)})
	h.Write(message)
	return h.Sum(dst)
}

// verifyAnswer strips the HMAC from the body of an answer and reports whether it is
// valid for the call.
func verifyAnswer(key, callAuth []byte, status int, body []byte) ([]byte, bool) {
	if len(body) < macBytes {
		return nil, false
	}
	message := body[macBytes:]
	var sum [macBytes]byte
	return message, hmac.Equal(body[:macBytes], signAnswer(sum[:0], key, callAuth, status, message))
}

// verifyAny returns the key that authenticates a call, and the parts of its body. The
// key is nil if none of keys does.
func verifyAny(keys [][]byte, path string, body []byte, now time.Time) (key, auth, message []byte) {
	for _, key := range keys {
		if auth, message, ok := verify(key, path, body, now); ok {
			return key, auth, message
		}
	}
	return nil, nil, nil
}
