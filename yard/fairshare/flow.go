package fairshare

import "time"

// flow holds a customer's tokens in the buckets of the window, in a ring.
type flow struct {
	latest  int64 // number of the latest bucket
	buckets [bucketCount]bucket
}

type bucket struct{ admitted, refused int }

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// advance clears the buckets that left the window, and all if the time of day stepped back.
func (f *flow) advance(now time.Time) {
	n := bucketNumber(now)
	if n < f.latest-1 { // a caller may have read the clock shortly before another one
		*f = flow{latest: n}
	}
	for i := max(f.latest+1, n-bucketCount+1); i <= n; i++ {
		f.buckets[i%bucketCount] = bucket{}
	}
	f.latest = max(f.latest, n)
}

// bucket returns the bucket of now.
func (f *flow) bucket(now time.Time) *bucket {
	f.advance(now)
	return &f.buckets[f.latest%bucketCount]
}

// sums returns the tokens in the window.
func (f *flow) sums(now time.Time) (admitted, refused int) {
	f.advance(now)
	for _, b := range f.buckets {
		admitted += b.admitted
		refused += b.refused
	}
	return max(admitted, 0), refused
}

// idle reports whether all buckets have left the window.
func (f *flow) idle(now time.Time) bool { return bucketNumber(now)-f.latest >= bucketCount }
