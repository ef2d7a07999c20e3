// Package peer carries calls between instances: it mounts twirp handlers on a
// fasthttp server, and signs and checks each call with the shared key. It owns
// the peer connections.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// authHeader carries "<unix ms>.<hex HMAC-SHA256>".
const authHeader = "X-Peer-Auth"

// authWindow bounds the age of a signature and the clock difference of two
// instances.
const authWindow = 30 * time.Second

func mac(key []byte, path, stamp string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write([]byte(stamp))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)
}

// answerHeader carries the hex HMAC-SHA256 of an answer. It covers the header
// of the call, so that an answer cannot be replayed for another call, and a
// process that took over an address cannot answer without the key.
const answerHeader = "X-Peer-Answer"

func signAnswer(key []byte, path, callAuth string, status int, body []byte) string {
	return hex.EncodeToString(mac(key, "answer "+path, strconv.Itoa(status)+" "+callAuth, body))
}

func verifyAnswer(key []byte, path, callAuth string, status int, body []byte, header string) bool {
	return hmac.Equal([]byte(header), []byte(signAnswer(key, path, callAuth, status, body)))
}

func sign(key []byte, path string, body []byte, now time.Time) string {
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	return stamp + "." + hex.EncodeToString(mac(key, path, stamp, body))
}

// verify reports whether the header signs path and body within the window.
func verify(key []byte, path string, body []byte, header string, now time.Time) bool {
	stamp, sum, ok := strings.Cut(header, ".")
	if !ok {
		return false
	}
	ms, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		return false
	}
	if age := now.Sub(time.UnixMilli(ms)); age > authWindow || age < -authWindow {
		return false
	}
	got, err := hex.DecodeString(sum)
	return err == nil && hmac.Equal(got, mac(key, path, stamp, body))
}

// signer returns the key that signed the call, or nil.
func signer(keys [][]byte, path string, body []byte, header string, now time.Time) []byte {
	for _, key := range keys {
		if verify(key, path, body, header, now) {
			return key
		}
	}
	return nil
}
