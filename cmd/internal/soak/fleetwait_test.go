package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"
)

// resolve returns the addresses that an instance's directory lists.
func (f *fleet) resolve(n *instance) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.directory + "/resolve?name=h.example&region=r&zone=z")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &a) != nil {
		return nil
	}
	return a.Addresses
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	for _, n := range f.instances {
		n.mu.Lock()
		select {
		case <-n.exited:
			f.t.Errorf("%s exited with code %d", n.name, n.code)
		default:
		}
		n.mu.Unlock()
		b, err := os.ReadFile(n.log)
		f.t.Logf("log of %s, %v: %s", n.name, err, b[max(0, len(b)-logTailBytes):])
	}
	f.t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}

func (f *fleet) end() {
	for _, n := range f.instances {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		n.toStore.close()
	}
	for _, s := range f.servers {
		s.proxy.close()
		s.Close()
	}
	f.store.Close()
}
