package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections on loopback and disturbs them.
type proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	changed chan struct{}
	delay   time.Duration
	// holdIn and holdOut keep the bytes to and from the target until they are unset.
	holdIn, holdOut bool
	links           map[*link]bool
}

// link is one forwarded connection.
type link struct {
	a, b *net.TCPConn
	// silent says that nothing passes any more, though both ends stay open.
	silent bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.open(c.(*net.TCPConn))
	}
}

func (p *proxy) open(a *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = a.SetLinger(0)
		_ = a.Close()
		return
	}
	l := &link{a: a, b: c.(*net.TCPConn)}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(l, l.b, l.a, true) })
	wg.Go(func() { p.copy(l, l.a, l.b, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = l.a.Close()
	_ = l.b.Close()
}

func (p *proxy) copy(l *link, to, from *net.TCPConn, in bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.pass(l, in)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.pass(l, in)
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits as long as the direction is held or the link is silent.
func (p *proxy) pass(l *link, in bool) {
	for {
		p.mu.Lock()
		held := l.silent || in && p.holdIn || !in && p.holdOut
		changed, delay := p.changed, p.delay
		p.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

func (p *proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets all connections.
func (p *proxy) reset() {
	p.set(func() {
		for l := range p.links {
			l.silent = false
			_ = l.a.SetLinger(0)
			_ = l.a.Close()
			_ = l.b.Close()
		}
	})
}

// silence lets the open connections pass nothing for good; new ones work.
func (p *proxy) silence() {
	p.set(func() {
		for l := range p.links {
			l.silent = true
		}
	})
}
