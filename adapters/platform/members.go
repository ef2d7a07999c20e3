package platform

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Member is one entry of the platform's membership list.
type Member struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	Leaving    bool
	// Caller, Admin, Peer and Datagram are the instance's addresses.
	Caller, Admin, Peer, Datagram string
}

// targetGroup is the HTTP service-discovery format of Prometheus.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// MemberList is a client of the membership list.
type MemberList struct {
	URL     string
	Timeout time.Duration
	// LastBytes is the body size of the last response.
	LastBytes int
}

// Read fetches the list. Its entries may be out of date.
func (l *MemberList) Read() ([]Member, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.URL)
	if err := fasthttp.DoTimeout(req, resp, l.Timeout); err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "membership list cannot be read")
	}
	if err := httpstatus.CheckHeader1(&resp.Header); err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "membership list cannot be read")
	}
	if httpstatus.Of(&resp.Header) != fasthttp.StatusOK {
		return nil, result.New(result.StoreUnavailable, "membership list answered status %d", httpstatus.Of(&resp.Header))
	}
	l.LastBytes = len(resp.Body())
	return ParseMembers(resp.Body())
}

// ParseMembers decodes the list. It omits entries without an instance name or address.
func ParseMembers(body []byte) ([]Member, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "membership list cannot be decoded")
	}
	if groups == nil { // null, which would be a fleet without members
		return nil, result.New(result.StoreUnavailable, "membership list is not a list")
	}
	var out []Member
	for _, g := range groups {
		for _, target := range g.Targets {
			if target == "" || g.Labels["instance"] == "" {
				continue
			}
			out = append(out, Member{
				Instance:   fleet.InstanceID(g.Labels["instance"]),
				DataCentre: fleet.DataCentreID(g.Labels["data_centre"]),
				Region:     fleet.RegionID(g.Labels["region"]),
				Leaving:    g.Labels["state"] == "leaving",
				Caller:     target,
				Admin:      g.Labels["admin"],
				Peer:       g.Labels["peer"],
				Datagram:   g.Labels["datagram"],
			})
		}
	}
	return out, nil
}
