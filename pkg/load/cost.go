package load

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxReportCosts bounds the costs of a service in a report.
	MaxReportCosts = 8
	// MaxCosts bounds the costs of a service in sums.
	MaxCosts = 16
	// MaxObservations bounds the observations of a cost in a report, so that an
	// instance with many callers does not outvote those that learned a change first.
	// One byte has room for it.
	MaxObservations = 127
	// maxWork bounds the expected work of a request.
	maxWork = time.Hour
	// maxDatagramCosts bounds the costs of all services in a datagram, so that at most
	// a third of it is about them.
	maxDatagramCosts = 32
	// costKeySize is the size of the key of a cost in bytes.
	costKeySize = 4
)

// Cost is what one or more instances know of the work of the requests of one kind, on a
// server of mean speed. Key stands for the kind. Work is in whole microseconds and
// not below one.
type Cost struct {
	Key          uint32
	Work         time.Duration
	Observations uint32
}

// costSum adds up what instances know of one kind.
type costSum struct {
	weighted     float64 // logarithm of the work in nanoseconds times the observations
	observations float64
}

func (s costSum) add(c Cost) costSum {
	if c.Work <= 0 || c.Observations == 0 {
		return s
	}
	n := float64(c.Observations)
	return costSum{s.weighted + n*math.Log(float64(c.Work)), s.observations + n}
}

// meanCosts returns the means, which are geometric, of the MaxCosts kinds with the most
// observations, in order of key. One instance that is wrong by a factor changes a
// geometric mean less than it would an arithmetic one.
func meanCosts(sums map[uint32]costSum) []Cost {
	var out []Cost
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		if s := sums[key]; s.observations > 0 {
			work := time.Duration(math.Round(math.Exp(s.weighted / s.observations)))
			out = append(out, Cost{key, roundWork(work), uint32(min(s.observations, maxCount))})
		}
	}
	return mostObserved(out, MaxCosts)
}

func roundWork(d time.Duration) time.Duration {
	return min(max(d.Round(time.Microsecond), time.Microsecond), maxWork)
}

func compareObservations(a, b Cost) int {
	return cmp.Or(cmp.Compare(b.Observations, a.Observations), cmp.Compare(a.Key, b.Key))
}

// mostObserved returns the n costs with the most observations, in order of key.
func mostObserved(list []Cost, n int) []Cost {
	if len(list) > n {
		list = slices.SortedFunc(slices.Values(list), compareObservations)[:n]
	}
	return slices.SortedFunc(slices.Values(list), func(a, b Cost) int { return cmp.Compare(a.Key, b.Key) })
}

// limitCosts returns the services with at most perService costs each and total costs
// together, those with the most observations.
func limitCosts(services []Service, perService, total int) []Service {
	out := slices.Clone(services)
	for left := total + 1; left > total; perService-- {
		left = 0
		for i := range out {
			out[i].Costs = mostObserved(out[i].Costs, max(perService, 0))
			left += len(out[i].Costs)
		}
	}
	return out
}

// packCosts returns the costs, each as its key and the expected work in microseconds
// and the observations as varints.
func packCosts(list []Cost) []byte {
	var out []byte
	for _, c := range list {
		out = binary.BigEndian.AppendUint32(out, c.Key)
		out = binary.AppendUvarint(out, uint64(roundWork(c.Work).Microseconds()))
		out = binary.AppendUvarint(out, uint64(min(c.Observations, maxCount)))
	}
	return out
}

func (r *reader) costs(b []byte) []Cost {
	var out []Cost
	for len(b) > 0 && r.err == nil {
		if len(b) < costKeySize {
			r.fail("bytes of a cost", int64(len(b)), costKeySize)
			return nil
		}
		c := Cost{Key: binary.BigEndian.Uint32(b)}
		b = b[costKeySize:]
		micros := r.varint("work", &b, uint64(maxWork.Microseconds()))
		if micros == 0 {
			r.fail("work", 0, maxWork.Microseconds())
		}
		c.Work = time.Duration(micros) * time.Microsecond
		c.Observations = uint32(r.varint("observations", &b, maxCount))
		out = append(out, c)
		r.count("costs", int64(len(out)), MaxCosts)
	}
	return out
}

// UnmarshalCBOR decodes a service with costs, or one without that field.
func (s *wireService) UnmarshalCBOR(b []byte) error {
	// An array of 4 or 5 elements.
	const withoutCosts, withCosts, noBytes = 0x84, 0x85, 0x40
	if len(b) > 0 && b[0] == withoutCosts {
		b = append(slices.Clone(b), noBytes)
		b[0] = withCosts
	}
	type plain wireService
	return decMode.Unmarshal(b, (*plain)(s))
}
