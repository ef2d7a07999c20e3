//go:build !linux

package httpapi

// disconnectWatcher does nothing: without epoll a disconnect is detected only by the
// next write.
type disconnectWatcher struct{}

func newDisconnectWatcher() (*disconnectWatcher, error) { return &disconnectWatcher{}, nil }

func (*disconnectWatcher) stop()              {}
func (*disconnectWatcher) add(*callerConn)    {}
func (*disconnectWatcher) remove(*callerConn) {}
