// Package tunnel carries connections to backend servers through a peer instance. The peer
// connects to the server directly and copies bytes; it decides nothing else. A tunnel is one
// TCP connection, opened by a GET call that names the server. The instance then sends the bytes
// for the server as they are; those of the server come in frames, so that the end of the
// server's connection can be told from the end of the peer.
package tunnel

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"cyclamenhitch/core/fleet"
)

// TunnelBytes is the memory of a tunnel at the peer, in bytes.
const TunnelBytes = 32 << 10

// Path is the URL path of the endpoint for tunnels.
const Path = "/tunnel"

const (
	// queryServer and queryFrom name the server and the instance that opens the tunnel.
	queryServer = "server"
	queryFrom   = "from"
	// resultHeader holds resultOpen or a Reason.
	resultHeader = "Tunnel-Result"
	resultOpen   = "open"
	// serverHeader repeats the name of the server in the response of an open tunnel.
	serverHeader = "Tunnel-Server"
	// addressHeader holds the address that the peer could not connect to. The peer and the instance
	// may know different ones.
	addressHeader = "Tunnel-Address"
)

const (
	// defaultConnectTimeout limits a connect if the Dialer sets no time.
	defaultConnectTimeout = time.Second
	// answerMargin is how long a peer may take to answer beyond the connect to the server.
	answerMargin = 200 * time.Millisecond
	// maxHeadBytes limits the header of the response that opens a tunnel.
	maxHeadBytes = 1 << 10
	// bufferBytes is the size of the buffer of each direction of a tunnel at the peer.
	bufferBytes = 8 << 10
	// checkInterval is the time between two checks of the open tunnels of a Server.
	checkInterval = 500 * time.Millisecond
	// idleTimeout closes a tunnel that carries nothing. It exceeds the 30 s for which the
	// instance keeps an idle connection and the time that a server may take to answer.
	idleTimeout = 2 * time.Minute
)

// Reason tells why a tunnel could not be opened. No byte of a request has been sent then.
type Reason string

// Reasons that the Dialer finds.
const (
	// PeerUnreachable: the peer refused the connection or did not answer in time.
	PeerUnreachable Reason = "peer_unreachable"
	// PeerForeign: what answers at the address is not known to be an instance.
	PeerForeign Reason = "peer_foreign"
	// PeerUnsupported: the peer is an instance of a version without tunnels.
	PeerUnsupported Reason = "peer_unsupported"
)

// Reasons that the peer states.
const (
	// PeerFull: the peer has no room for another tunnel, or no descriptor.
	PeerFull Reason = "peer_full"
	// PeerNoLink: the peer has no link to servers.
	PeerNoLink Reason = "peer_no_link"
	// ServerUnknown: the peer knows no server of this name.
	ServerUnknown Reason = "server_unknown"
	// ServerRefused: the host of the server refused the peer's connection.
	ServerRefused Reason = "server_refused"
	// ServerSilent: the host of the server did not answer the peer's connect in time.
	ServerSilent Reason = "server_silent"
	// ServerFailed: the peer's connect failed in another way.
	ServerFailed Reason = "server_failed"
)

var (
	// ErrNoLink is the error of Server.Dial if the instance has no link to servers.
	ErrNoLink = errors.New("no link to servers")
	// ErrFull is the error of Server.Dial if the instance has no room for another tunnel.
	ErrFull = errors.New("no room for another tunnel")
	// ErrUnknownServer is the error of Server.Dial for a name that the instance does not know.
	ErrUnknownServer = errors.New("unknown server")
)

// Error is the error of a tunnel that could not be opened. It is a net.Error; its Timeout is
// true only for ServerSilent. It wraps syscall.ECONNREFUSED only for ServerRefused, since a peer
// that refuses a connection says nothing about the server.
type Error struct {
	Reason Reason
	Peer   string // host:port
	Server fleet.ServerID
	// Address is the host:port address that the peer could not connect to, if it stated one. It may
	// be of an earlier process of the server.
	Address string
	// Detail describes the error that the Dialer met; nil if the peer stated the reason.
	Detail error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("tunnel to server %s through %s: %s", e.Server, e.Peer, e.Reason)
	if e.Detail != nil {
		text += ": " + e.Detail.Error()
	}
	return text
}

// Unwrap returns the error that the reason stands for, or nil.
func (e *Error) Unwrap() error {
	switch e.Reason {
	case PeerNoLink:
		return ErrNoLink
	case ServerUnknown:
		return ErrUnknownServer
	case ServerRefused:
		return syscall.ECONNREFUSED
	}
	return nil
}

// Timeout implements net.Error.
func (e *Error) Timeout() bool { return e.Reason == ServerSilent }

// Temporary implements net.Error.
func (e *Error) Temporary() bool { return e.Timeout() }
