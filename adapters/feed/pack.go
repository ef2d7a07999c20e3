package feed

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/feed/feedpb"
)

const (
	// packLeast is the least size of rows that are compressed, in bytes. Less fits into
	// a packet or two.
	packLeast = 2 << 10
	// maxUnpacked bounds decompressed rows, in bytes.
	maxUnpacked = 64 << 20
	// packsKept is how many compressed answers are kept, so that followers that lack
	// the same changes share one.
	packsKept = 8
)

// packer compresses large answers once for all followers that ask for the same. A
// configuration of 1,300 routes takes 320 KB; some 14 followers of one reader got 4.5 MB
// for each change.
type packer struct {
	mu    sync.Mutex
	packs []pack // the newest last
}

// packKey tells answers apart.
type packKey struct {
	table          string
	whole          bool
	after, version uint64
}

type pack struct {
	key   packKey
	bytes []byte
}

// get returns the compressed answer, or nil when it is not kept.
func (p *packer) get(key packKey) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.packs {
		if k.key == key {
			return k.bytes
		}
	}
	return nil
}

// pack compresses an answer and keeps it.
func (p *packer) pack(key packKey, b []byte) []byte {
	out := encoder().EncodeAll(b, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.packs) == packsKept {
		p.packs = append(p.packs[:0], p.packs[1:]...)
	}
	p.packs = append(p.packs, pack{key, out})
	return out
}

// unpack reads compressed changes into m.
func unpack(b []byte, m *feedpb.Changes) error {
	raw, err := decoder().DecodeAll(b, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

// The codecs may be used concurrently. They fail only for invalid options.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)))
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked)))
	})
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("zstd: " + err.Error())
	}
	return v
}
