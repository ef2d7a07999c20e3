package slopes

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cyclamenhitch/core/manifest"
)

// manifestSource returns a manifest with the pools and engines of the target size and n
// client accounts.
func manifestSource(n int) []byte {
	var b strings.Builder
	b.WriteString("format = 1\n")
	for i := range 6 {
		fmt.Fprintf(&b, "[[data_centre]]\nname = \"dc-%d\"\nregion = \"region-%d\"\n", i, i/2)
	}
	for i := range 25 {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\n", i)
	}
	for i := range 600 {
		fmt.Fprintf(&b, "[[server]]\nname = \"engine-%d\"\npool = \"pool-%d\"\ndata_centre = \"dc-%d\"\naddress = \"127.0.%d.%d:8000\"\n", i, i%25, i%6, i/250, i%250)
	}
	for i := range n {
		fmt.Fprintf(&b, "[[account]]\nname = \"account-%d\"\nkey_sha256 = [\"%064x\"]\n", i, i+1)
	}
	return []byte(b.String())
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopeConfig measures the memory of a configuration in force and the
// time to decode and index it, against the number of client accounts.
func BenchmarkSlopeConfig(b *testing.B) {
	for _, n := range []int{1000, 4500, 9000, 18000} {
		src := manifestSource(n)
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeapBytes()
				m, err := manifest.Decode(src)
				if err != nil {
					b.Fatal(err)
				}
				x := manifest.NewIndex(1, m)
				b.ReportMetric(float64(liveHeapBytes()-before), "heap-B")
				b.ReportMetric(float64(len(src)), "body-B")
				runtime.KeepAlive(x)
			}
		})
		b.Run(fmt.Sprintf("decode/accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := manifest.Decode(src); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
