package daemon

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

const (
	// fetchTimeout bounds a transfer; a whole body of 18,000 accounts is 2 MB.
	fetchTimeout = 5 * time.Second
	// offerTimeout bounds a direct notification.
	offerTimeout = 500 * time.Millisecond
	// offerFanout is how many instances are notified directly after acceptance.
	offerFanout = 4
)

// peerClient returns the client of an address.
func (c *configComponent) peerClient(address string) configpb.Config {
	if p, ok := c.peerClients.Load(address); ok {
		return p.(configpb.Config)
	}
	p, _ := c.peerClients.LoadOrStore(address, configpb.NewConfigProtobufClient("http://"+address, c.d.peerClient))
	return p.(configpb.Config)
}

// fetchPeer gets the version in force at a peer, as patches where possible.
func (c *configComponent) fetchPeer(ctx context.Context, p configstate.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c.mu.Lock()
	have := c.history.Current()
	c.mu.Unlock()
	req := &configpb.FetchRequest{}
	if have.Version > 0 {
		req.Sha256 = have.Sum[:]
	}
	resp, err := c.peerClient(p.Address).Fetch(ctx, req)
	if err != nil {
		return err
	}
	if resp.Version <= have.Version {
		return nil // another fetch was faster, or the peer restarted
	}
	text, err := configstate.Rebuild(have.Text, configpb.PatchOps(resp), resp.Body, resp.Sha256)
	if err != nil {
		return err
	}
	b := configstate.Body{Version: resp.Version, Operator: resp.Operator, Text: text}
	copy(b.Sum[:], resp.Sha256)
	return c.apply(b)
}

// applyAccepted puts a version that this instance has just had accepted in force and
// notifies a few peers, so that the spread does not wait for a poll.
func (c *configComponent) applyAccepted(head configstate.Head, text []byte) {
	c.mu.Lock()
	c.state.HeadWritten(time.Now(), head)
	c.publishTimes()
	c.mu.Unlock()
	err := c.apply(configstate.Body{Version: head.Version, Sum: sha256.Sum256(text), Operator: head.Operator, Text: text})
	if err != nil {
		c.d.log.Warn("accepted configuration cannot be applied", zap.Error(err))
		return
	}
	members := c.d.members.View().Members
	sent := 0
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if m.ID == c.d.set.Instance || m.Peer == "" {
			continue
		}
		go c.sendOffer(m.Peer, head.Version)
		if sent++; sent == offerFanout {
			return
		}
	}
}

func (c *configComponent) sendOffer(address string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	req := &configpb.OfferRequest{Instance: string(c.d.set.Instance), Peer: c.d.PeerAddress(), Version: version}
	if _, err := c.peerClient(address).Offer(ctx, req); err != nil {
		c.d.log.Debug("offer not delivered", zap.String("to", address), zap.Error(err))
	}
}

// configService implements configpb.Config.
type configService struct{ c *configComponent }

// Fetch implements configpb.Config.
func (s configService) Fetch(_ context.Context, req *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.history.Current()
	if b.Version == 0 {
		return nil, result.New(result.ConfigMissing, "the instance has no configuration yet")
	}
	return configpb.BuildFetchResponse(&c.history, req), nil
}

// Offer implements configpb.Config.
func (s configService) Offer(_ context.Context, req *configpb.OfferRequest) (*configpb.OfferResponse, error) {
	resp := &configpb.OfferResponse{Version: s.c.version()}
	s.c.handleAnnouncement(fleet.InstanceID(req.Instance), req.Peer, req.Version)
	return resp, nil
}
