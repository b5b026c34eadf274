package fabric_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/emul/fabric"
	"ebonypaddle/pkg/wire"
)

const patience = 5 * time.Second // bounds a read in a test that fails

type rig struct {
	*fabric.Fabric
	now       atomic.Int64
	instances []*net.UDPConn
	caller    *net.UDPConn
}

func listen(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func newRig(t *testing.T, n int) *rig {
	r := &rig{}
	var list []netip.AddrPort
	for range n {
		c := listen(t)
		r.instances = append(r.instances, c)
		list = append(list, addr(c))
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	r.Fabric = &fabric.Fabric{
		Clock: func() time.Time { return time.Unix(0, r.now.Load()) }, Rand: rand.New(rand.NewPCG(9, 10)),
		Services: []netip.AddrPort{free, free}, Inside: free,
		List: func(context.Context) ([]netip.AddrPort, error) { return list, nil },
	}
	assert.NilError(t, r.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	r.caller = listen(t)
	return r
}

func read(t *testing.T, c *net.UDPConn, wait time.Duration) ([]byte, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, 2048)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	n, from, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return nil, from
	}
	return buf[:n], from
}

func (r *rig) send(t *testing.T, service int, b string) {
	t.Helper()
	_, err := r.caller.WriteToUDPAddrPort([]byte(b), r.Services[service])
	assert.NilError(t, err)
}

// Guards against packets and answers whose bytes or addresses change on the
// way, or that leave from another service address.
func TestPass(t *testing.T) {
	r := newRig(t, 1)
	for service := range r.Services {
		r.send(t, service, "not a frame")
		b, from := read(t, r.instances[0], patience)
		assert.Equal(t, from, r.Inside)
		caller, dst, rest, err := wire.DecodeHeader(b)
		assert.NilError(t, err)
		assert.Equal(t, caller, addr(r.caller))
		assert.Equal(t, dst, r.Services[service])
		assert.Equal(t, string(rest), "not a frame")
		_, err = r.instances[0].WriteToUDPAddrPort(b, from)
		assert.NilError(t, err)
		back, from := read(t, r.caller, patience)
		assert.Equal(t, string(back), "not a frame")
		assert.Equal(t, from, r.Services[service])
	}
}

// spray sends n numbered packets and returns the numbers each instance got.
func (r *rig) spray(t *testing.T, n int) [][]int {
	t.Helper()
	before := r.Counters()
	for i := range n {
		r.send(t, 0, strconv.Itoa(i))
	}
	for end := time.Now().Add(patience); r.Counters().FromCallers < before.FromCallers+uint64(n); {
		assert.Assert(t, time.Now().Before(end), "the fabric does not read")
		time.Sleep(time.Millisecond)
	}
	got := make([][]int, len(r.instances))
	for i, c := range r.instances {
		for b, _ := read(t, c, 100*time.Millisecond); b != nil; b, _ = read(t, c, 20*time.Millisecond) {
			_, _, rest, err := wire.DecodeHeader(b)
			assert.NilError(t, err)
			v, err := strconv.Atoi(string(rest))
			assert.NilError(t, err)
			got[i] = append(got[i], v)
		}
	}
	return got
}

// Guards against a fabric that keeps a caller on one instance, and against a
// stopped instance that still gets packets or stops before its lag.
func TestSprayAndStop(t *testing.T) {
	r := newRig(t, 2)
	got := r.spray(t, 100)
	assert.Equal(t, len(got[0])+len(got[1]), 100)
	assert.Assert(t, len(got[0]) >= 25 && len(got[1]) >= 25, "%v", got) // 5 sigma of an even spray
	h := httptest.NewServer(r.Handler())
	defer h.Close()
	res, err := h.Client().Post(h.URL+"/fault", "application/json",
		strings.NewReader(`{"stop":[{"instance":"`+addr(r.instances[0]).String()+`","after":"1s"}]}`))
	assert.NilError(t, err)
	res.Body.Close()
	assert.Assert(t, len(r.spray(t, 50)[0]) > 0)
	r.now.Add(int64(time.Second))
	got = r.spray(t, 50)
	assert.Equal(t, len(got[0]), 0)
	assert.Equal(t, len(got[1]), 50)
}

// Guards against faults that lose packets or do nothing.
func TestDuplicateAndReorder(t *testing.T) {
	r := newRig(t, 1)
	assert.Assert(t, slices.IsSorted(r.spray(t, 100)[0]))
	r.SetFault(fabric.Fault{Duplicate: 0.5, Reorder: 0.5})
	got := r.spray(t, 100)[0]
	n := r.Counters()
	assert.Assert(t, n.Reordered > 25 && n.Duplicated > 5, "%+v", n)
	assert.Equal(t, len(got), 100+int(n.Duplicated))
	assert.Assert(t, !slices.IsSorted(got))
	slices.Sort(got)
	assert.Equal(t, len(slices.Compact(got)), 100)
}
