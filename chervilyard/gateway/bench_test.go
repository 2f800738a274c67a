package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures an ordinary request whose body is sent with its length, with a
// target that answers at once. Both ends are part of it.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newTestInstance(b, "near", []*fakeTarget{newFakeTarget(b, "t", "ok "+strings.Repeat("x", 2<<10))})
			body := strings.Repeat("y", size)
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequest(http.MethodPost, n.public.URL+"/open/x", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				r.Host = "h.example"
				r.Header.Set("Id", "b")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("answered %d", resp.StatusCode)
				}
			}
		})
	}
}
