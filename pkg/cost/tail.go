package cost

import "math"

const (
	// tailShare is the share of requests beyond the tail.
	tailShare = 0.03
	// defaultTail is the tail without enough observations.
	defaultTail = 3.0
	// tailBuckets is the number of buckets of a spread. Bucket i is around the ratio
	// 2^((i-unitBucket)/bucketsPerOctave): from about 0.6 to 16.
	tailBuckets      = 20
	unitBucket       = 3
	bucketsPerOctave = 4
	// spreadWindow is the number of observations at which the counts are halved, so
	// that half of what was wrong is gone after as many.
	spreadWindow = 1024
	// bucketWidth is the ratio of the bounds of a bucket, the bucketsPerOctave-th root
	// of 2.
	bucketWidth = 1.189207115
	// unseen is the number of requests in a spread that take longer than all observed
	// ones.
	unseen = 0.5
	// minSpread is the number of observations from which on a spread is used.
	minSpread = 64
)

// spread counts how the work of requests is spread, as multiples of the expected work.
type spread struct {
	counts [tailBuckets]uint16
	total  uint16
}

func (s *spread) add(ratio float64) {
	bucket := math.Round(bucketsPerOctave*math.Log2(ratio)) + unitBucket
	s.counts[int(min(max(bucket, 0), tailBuckets-1))]++
	if s.total++; s.total < spreadWindow {
		return
	}
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// ratioAt returns the ratio at a place among the buckets.
func ratioAt(bucket float64) float64 { return math.Exp2((bucket - unitBucket) / bucketsPerOctave) }

// tail returns the 0.97 quantile.
func (s *spread) tail() float64 {
	if s.total < minSpread {
		return defaultTail
	}
	left := tailShare * float64(s.total)
	for i := tailBuckets - 1; ; i-- {
		n := float64(s.counts[i])
		if n >= left {
			return max(ratioAt(float64(i)+0.5-left/n), 1)
		}
		left -= n
	}
}

// left returns the mean rest of the requests that take longer than a ratio, as a
// multiple of the expected work. As the rest of those that take longer than all observed
// ones it takes half of that time, at least the expected work.
func (s *spread) left(ratio float64) float64 {
	requests, rest := unseen, unseen*max(ratio/2, 1)
	low, high := 0.0, ratioAt(0.5)
	for _, count := range s.counts {
		if high > ratio && count > 0 {
			n, from := float64(count), max(low, ratio)
			n *= (high - from) / (high - low)
			requests += n
			rest += n * ((from+high)/2 - ratio)
		}
		low, high = high, high*bucketWidth
	}
	return rest / requests
}
