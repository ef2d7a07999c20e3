// Package peer carries calls between instances: it mounts twirp handlers on a
// fasthttp server, and signs and checks each call with the shared key. It owns
// the peer connections.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// timestampBytes holds the time of a call, in ms since 1970, big-endian.
	timestampBytes = 6
	// macBytes is a whole HMAC-SHA256.
	macBytes = sha256.Size
	// callAuthBytes precede the message in the body of a call, macBytes the
	// message in the body of an answer. In the body they need no text encoding
	// and no header line.
	callAuthBytes = timestampBytes + macBytes
)

// authWindow bounds the age of a signature and the clock difference of two
// instances.
const authWindow = 30 * time.Second

// Domains separate the signatures of calls and of answers.
const (
	callDomain   = 'c'
	answerDomain = 'a'
)

// sign appends the time and the HMAC of a call to dst.
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

// verify splits the body of a call and reports whether it is signed within the
// window.
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

// signAnswer appends the HMAC of an answer to dst. It covers the time and the
// HMAC of the call, so that an answer cannot be replayed for another call, and a
// process that took over an address cannot answer without the key.
func signAnswer(dst, key, callAuth []byte, status int, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{answerDomain})
	h.Write(callAuth)
	h.Write([]byte{byte(status >> 8), byte(status)})
	h.Write(message)
	return h.Sum(dst)
}

// verifyAnswer splits the body of an answer and reports whether it is signed
// for the call.
func verifyAnswer(key, callAuth []byte, status int, body []byte) ([]byte, bool) {
	if len(body) < macBytes {
		return nil, false
	}
	message := body[macBytes:]
	var sum [macBytes]byte
	return message, hmac.Equal(body[:macBytes], signAnswer(sum[:0], key, callAuth, status, message))
}

// verifyAny returns the key that signed the body of a call with its parts; the key
// is nil when none did.
func verifyAny(keys [][]byte, path string, body []byte, now time.Time) (key, auth, message []byte) {
	for _, key := range keys {
		if auth, message, ok := verify(key, path, body, now); ok {
			return key, auth, message
		}
	}
	return nil, nil, nil
}
