package load

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxDatagram is the size of the largest datagram in bytes. It fits into one
	// packet of a usual network.
	MaxDatagram = 1400
	// datagramVersion changes with each change of the format.
	datagramVersion = 1
	// headerSize is the size of the version, the kind and the echo in bytes.
	headerSize = 4
	// maxServerSize is the size of a server in bytes, at most.
	maxServerSize = binary.MaxVarintLen64 + 2*binary.MaxVarintLen32
	// maxNesting is the deepest nesting of arrays in a datagram.
	maxNesting = 6
)

// Kind is the kind of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	KindReport Kind = iota + 1
	KindSums
	KindTotals
)

// Totals are the totals of one failure domain, as its aggregator sends them. Reports
// is the number of instances in them.
type Totals struct {
	Domain  string
	Reports int
	Totals  []Total
}

// Answer is what an aggregator answers to a report.
type Answer struct {
	Sums *Sums
	// Preferred is the instance to which the aggregator sends its own reports, and
	// is to be preferred to it. The zero value means the aggregator itself.
	Preferred Candidate
}

// Candidate is an instance that may be the aggregator of its failure domain.
type Candidate struct {
	Addr   netip.AddrPort
	Weight uint32        // its rank among the instances
	Seen   time.Duration // how long ago it was known to be live
}

// VersionError reports a datagram of a version or kind that is not known.
type VersionError struct{ Version, Kind uint8 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("datagram of version %d and kind %d, only version %d is known", e.Version, e.Kind, datagramVersion)
}

// LimitError reports a value of a datagram that is negative or exceeds its bound.
type LimitError struct {
	Field        string
	Value, Limit int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: %d is not between 0 and %d", e.Field, e.Value, e.Limit)
}

var (
	encMode = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxNesting, MaxArrayElements: MaxDatagram,
	}.DecMode())
)

// mustMode panics if the options of a codec, which are constants, are not valid.
func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeReport returns the datagram of a report. Its instance is not in it, as the
// datagram comes from there. Servers with the least in progress are left out if it
// would exceed MaxDatagram, as are the costs with the fewest observations.
func EncodeReport(r *Report) ([]byte, error) {
	return fit(r.Services, MaxReportCosts, func(services []Service) ([]byte, error) {
		var n names
		w := wireReport{StartedAt: r.StartedAt, Sequence: r.Sequence, Services: n.services(services)}
		w.Names = n.list
		return encode(KindReport, &w)
	})
}

// EncodeAnswer returns the datagram of an answer, without an echo. If it would exceed
// MaxDatagram, servers with the least in progress are left out, and the costs with the
// fewest observations; if the other domains would take more than half of it, those with
// the least free room are.
func EncodeAnswer(a *Answer) ([]byte, error) {
	sums, preferred := a.Sums, &a.Preferred
	others, err := fitTotals(sums.Others, MaxDatagram/2, compareRoom, func(list []Total) ([]byte, error) {
		return EncodeTotals(&Totals{Totals: list})
	})
	if err != nil {
		return nil, err
	}
	var addr []byte
	if preferred.Addr.IsValid() {
		if addr, err = preferred.Addr.MarshalBinary(); err != nil {
			return nil, fmt.Errorf("encode address %v: %w", preferred.Addr, err)
		}
	}
	return fit(sums.Services, MaxCosts, func(services []Service) ([]byte, error) {
		var n names
		w := wireSums{
			AgeMs: millis(sums.Age), Reports: int64(min(sums.Reports, maxCount)), IntervalMs: millis(sums.Interval),
			Services: n.services(services), Others: n.totals(others), Preferred: addr, Weight: int64(preferred.Weight), SeenMs: millis(preferred.Seen),
		}
		w.Names = n.list
		return encode(KindSums, &w)
	})
}

// EncodeTotals returns the datagram of totals. Services with the least in progress
// are left out if it would exceed MaxDatagram.
func EncodeTotals(t *Totals) ([]byte, error) {
	var b []byte
	_, err := fitTotals(t.Totals, MaxDatagram, compareInProgress, func(list []Total) ([]byte, error) {
		n := names{[]string{t.Domain}}
		w := wireTotals{Reports: int64(min(t.Reports, maxCount)), Totals: n.totals(list)}
		w.Names = n.list
		var err error
		b, err = encode(KindTotals, &w)
		return b, err
	})
	return b, err
}

// fitTotals returns the totals, or if the bytes of encodeTotals exceed limit as many
// of them, in the order of compare, as do not.
func fitTotals(list []Total, limit int, compare func(a, b Total) int, encodeTotals func([]Total) ([]byte, error)) ([]Total, error) {
	for sorted := false; ; list = list[:len(list)-1] {
		if len(list) <= maxTotals {
			b, err := encodeTotals(list)
			if err != nil || len(b) <= limit {
				return list, err
			}
			if len(list) == 0 {
				return nil, &LimitError{"bytes", int64(len(b)), int64(limit)}
			}
		}
		if !sorted {
			list, sorted = slices.SortedStableFunc(slices.Values(list), compare), true
		}
	}
}

// compareInProgress orders totals by descending requests in progress.
func compareInProgress(a, b Total) int { return cmp.Compare(b.InProgress, a.InProgress) }

// compareRoom orders totals by descending free slots.
func compareRoom(a, b Total) int { return cmp.Compare(b.Slots-b.InProgress, a.Slots-a.InProgress) }

// encode returns a datagram with an echo of 0.
func encode(k Kind, body any) ([]byte, error) {
	b, err := encMode.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode load datagram: %w", err)
	}
	return append([]byte{datagramVersion, byte(k), 0, 0}, b...), nil
}

// fit calls encodeServices with as many of the servers, those with the most in
// progress first, as MaxDatagram allows, and with at most maxCosts costs of a service.
// There are no costs if the datagram has no room for any server.
func fit(services []Service, maxCosts int, encodeServices func([]Service) ([]byte, error)) ([]byte, error) {
	services = limitCosts(services[:min(len(services), maxServices)], maxCosts, maxDatagramCosts)
	count := 0
	for i := range services {
		count += len(services[i].Servers)
	}
	for {
		b, err := encodeServices(services)
		if err != nil || len(b) <= MaxDatagram {
			return b, err
		}
		if count == 0 && maxCosts == 0 {
			return nil, &LimitError{"bytes", int64(len(b)), MaxDatagram}
		}
		if count == 0 {
			maxCosts = 0
			services = limitCosts(services, 0, 0)
			continue
		}
		excess := len(b) - MaxDatagram
		count = max(count-max(excess/maxServerSize, 1), 0)
		services = busiest(services, count)
	}
}

// busiest returns the services with the count servers that have the most in progress.
func busiest(services []Service, count int) []Service {
	type ref struct{ service, server int }
	var all []ref
	for i := range services {
		for j := range services[i].Servers {
			all = append(all, ref{i, j})
		}
	}
	slices.SortStableFunc(all, func(a, b ref) int {
		return compareLoad(&services[a.service].Servers[a.server], &services[b.service].Servers[b.server])
	})
	out := slices.Clone(services)
	for i := range out {
		out[i].Servers = nil
	}
	for _, r := range all[:min(count, len(all))] {
		out[r.service].Servers = append(out[r.service].Servers, services[r.service].Servers[r.server])
	}
	return out
}

// compareLoad orders servers by descending load.
func compareLoad(a, b *Server) int {
	return cmp.Or(cmp.Compare(b.InProgress, a.InProgress), cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.ID, b.ID))
}

// SetEcho writes the sequence number of the report that a datagram answers into it.
func SetEcho(b []byte, sequence uint64) { binary.BigEndian.PutUint16(b[2:], uint16(sequence)) }

// Echo returns the low bits of the sequence number that SetEcho wrote.
func Echo(b []byte) uint16 { return binary.BigEndian.Uint16(b[2:]) }

// KindOf returns the kind of a datagram. It returns a *VersionError if the version or
// kind is not known, and a *LimitError if the size is not possible.
func KindOf(b []byte) (Kind, error) {
	if len(b) < headerSize || len(b) > MaxDatagram {
		return 0, &LimitError{"bytes", int64(len(b)), MaxDatagram}
	}
	k := Kind(b[1])
	if b[0] != datagramVersion || k < KindReport || k > KindTotals {
		return 0, &VersionError{b[0], b[1]}
	}
	return k, nil
}

// decodeBody decodes the body of a datagram of a kind.
func decodeBody(b []byte, want Kind, body any) error {
	k, err := KindOf(b)
	if err != nil {
		return err
	}
	if k != want {
		return &VersionError{b[0], b[1]}
	}
	if err := decMode.Unmarshal(b[headerSize:], body); err != nil {
		return fmt.Errorf("decode load datagram: %w", err)
	}
	return nil
}

// checked returns a decoded message, or the error of r if there is one.
func checked[T any](r *reader, message *T) (*T, error) {
	if r.err != nil {
		return nil, r.err
	}
	return message, nil
}

// DecodeReport decodes a report without its instance. A value out of bounds is a
// *LimitError.
func DecodeReport(b []byte) (*Report, error) {
	var w wireReport
	if err := decodeBody(b, KindReport, &w); err != nil {
		return nil, err
	}
	var r reader
	r.setNames(w.Names)
	return checked(&r, &Report{StartedAt: w.StartedAt, Sequence: w.Sequence, Services: r.services(w.Services)})
}

// DecodeAnswer decodes an answer. A value out of bounds is a *LimitError.
func DecodeAnswer(b []byte) (*Answer, error) {
	var w wireSums
	if err := decodeBody(b, KindSums, &w); err != nil {
		return nil, err
	}
	var r reader
	r.setNames(w.Names)
	return checked(&r, &Answer{
		Sums: &Sums{
			Age: r.millis("age", w.AgeMs), Reports: int(r.count("reports", w.Reports, maxCount)), Interval: r.millis("interval", w.IntervalMs),
			Services: r.services(w.Services), Others: r.totals(w.Others),
		},
		Preferred: Candidate{
			Addr: r.addr("address", w.Preferred), Weight: uint32(r.count("weight", w.Weight, math.MaxUint32)), Seen: r.millis("age of the address", w.SeenMs),
		},
	})
}

// DecodeTotals decodes totals. A value out of bounds is a *LimitError.
func DecodeTotals(b []byte) (*Totals, error) {
	var w wireTotals
	if err := decodeBody(b, KindTotals, &w); err != nil {
		return nil, err
	}
	var r reader
	r.setNames(w.Names)
	t := &Totals{Domain: r.name(0), Reports: int(r.count("reports", w.Reports, maxCount)), Totals: r.totals(w.Totals)}
	for i := range t.Totals {
		t.Totals[i].Domain = t.Domain
	}
	return checked(&r, t)
}
