//go:build !linux

package httpapi

// hangUps is not available here: a caller that leaves is noticed at the next
// write to it.
type hangUps struct{}

func startHangUps() (*hangUps, error) { return &hangUps{}, nil }

func (*hangUps) stop()              {}
func (*hangUps) add(*callerConn)    {}
func (*hangUps) remove(*callerConn) {}
