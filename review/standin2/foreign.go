package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignCase }

const (
	// One in extraEvery answers (0.0294) is followed by additional bytes, at extraRunners of 4
	// runners.
	extraEvery   = 34
	extraRunners = 2
	foreignTime  = 80 * time.Second
	foreignRate  = 16.6
	// The runners are faulty for episode, again after each pause.
	episode = 5 * time.Second
	pause   = 3 * time.Second
)

// extraRunner answers orders with the data of the tenant that sent them. After some complete
// answers it sends the body once more, at the point where the next response is expected.
type extraRunner struct {
	id    string
	extra func() bool
}

// inEpisode reports whether the runners are faulty now.
func inEpisode() bool { return time.Since(began)%(episode+pause) < episode }

// bodyOf is the answer to an order of a tenant.
func bodyOf(tenant, id string) string {
	return fmt.Sprintf("order of %s: buyer %s-%s, account number 0000-1111\r\n", tenant, tenant, id)
}

func (r *extraRunner) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	after := "" // additional bytes that are still to be sent
	for {
		lines, err := readHead(br)
		if err != nil {
			return
		}
		h := fieldsOf(lines)
		if _, err := readBodyOf(br, h); err != nil {
			return
		}
		id, tenant := h["request-id"], h["tenant"]
		if want := h["expect-instance"]; want != "" && want != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		body := bodyOf(tenant, id)
		note("%s runs %s of %s", r.id, id, tenant)
		if after != "" {
			note("%s sends additional bytes before the answer to %s of %s: %q", r.id, id, tenant, after)
		}
		// The additional bytes come in a packet of their own.
		if _, err := io.WriteString(c, after); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, seal(r.id, id, 200, body), len(body), body); err != nil {
			return
		}
		if after = ""; r.extra() {
			after = body
		}
	}
}

// foreignCase looks whether data of one tenant's answers reaches another tenant.
func foreignCase(bin, dir string) int {
	st, nodes, _ := startFleet(bin, dir, 3, 0, 0, nil)
	var mu sync.Mutex
	answers, extras := 0, 0
	for i := range 4 {
		r := &extraRunner{id: fmt.Sprintf("app-%d", i), extra: func() bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble() || i >= extraRunners || !inEpisode() {
				return false
			}
			answers++
			hit := answers%extraEvery == 0
			if hit {
				extras++
			}
			return hit
		}}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal("%v", err)
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go r.serve(c)
			}
		}()
		entry := (&runner{id: r.id, service: "app", zone: "za", slots: 6, addr: ln.Addr().String()}).entry("ready", 0)
		st.set("servers", r.id, entry)
	}
	time.Sleep(time.Second)
	var calls []*call
	var wg sync.WaitGroup
	end := time.Now().Add(foreignTime)
	const clients = 10
	for c := range clients {
		wg.Go(func() {
			rc := rand.New(rand.NewPCG(uint64(c), 2))
			for i := 0; time.Now().Before(end); i++ {
				tenant := 1 + c%2
				k := &call{id: fmt.Sprintf("c%d-%d", c, i), method: "POST", target: "/u/x", key: fmt.Sprintf("k%d", tenant), body: "order", deadline: 2500 * time.Millisecond}
				once(nodes[rc.IntN(len(nodes))], k)
				mu.Lock()
				calls = append(calls, k)
				mu.Unlock()
				time.Sleep(time.Duration(2 * rc.Float64() * clients / foreignRate * float64(time.Second)))
			}
		})
	}
	wg.Wait()
	foreign, others := 0, 0
	for _, k := range calls {
		own, other := "t1", "t2"
		if k.key == "k2" {
			own, other = other, own
		}
		if k.status != 200 {
			note("%s of %s at %s: status %d %s", k.id, own, k.at, k.status, k.got)
		}
		rest := strings.ReplaceAll(k.got, own+"-"+k.id+",", "")
		switch {
		case strings.Contains(rest, "order of "+other+":"):
			foreign++
			note("BROKEN MIXED: %s of %s got data of an answer to %s: %q", k.id, own, other, k.got)
		case strings.Contains(rest, "buyer "+own+"-"):
			others++
			note("BROKEN MIXED: %s of %s got data of the answer to another request: %q", k.id, own, k.got)
		}
	}
	note("%d calls, %d answers followed by additional bytes; %d calls got data of another tenant, %d of another request of their own", len(calls), extras, foreign, others)
	return min(foreign+others, 1)
}
