package feed

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/feed/feedpb"
	"cyclamenhitch/core/store"
)

const (
	// minCompressBytes is the size from which responses are compressed. Smaller ones fit
	// into one or two packets.
	minCompressBytes = 2 << 10
	// maxDecompressedBytes limits the memory for a decompressed response.
	maxDecompressedBytes = 16 << 20
	// maxCachedResponses is the number of cached compressed responses. Followers at the
	// same version share one.
	maxCachedResponses = 8
)

// responseCache compresses a large response once for all followers that request it. A
// configuration of 1,300 routes takes 320 KB, so uncompressed it would cost a reader with
// 14 followers 4.5 MB per change.
type responseCache struct {
	mu      sync.Mutex
	entries []cachedResponse // newest last
}

// responseKey identifies a response.
type responseKey struct {
	table          string
	snapshot       bool
	after, version store.Version
}

type cachedResponse struct {
	key   responseKey
	bytes []byte
}

// get returns the compressed response, or nil if it is not cached.
func (p *responseCache) get(key responseKey) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.entries {
		if k.key == key {
			return k.bytes
		}
	}
	return nil
}

// compress compresses a response and caches it, evicting the oldest if the cache is full.
func (p *responseCache) compress(key responseKey, b []byte) []byte {
	out := encoder().EncodeAll(b, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == maxCachedResponses {
		p.entries = append(p.entries[:0], p.entries[1:]...)
	}
	p.entries = append(p.entries, cachedResponse{key, out})
	return out
}

// decompress decodes compressed changes into m.
func decompress(b []byte, m *feedpb.Changes) error {
	raw, err := decoder().DecodeAll(b, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

// The encoder and decoder are safe for concurrent use. Creating them fails only for
// invalid options.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)))
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedBytes)))
	})
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("zstd: " + err.Error())
	}
	return v
}
