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

const readTimeout = 5 * time.Second // reached only if a test fails

type fixture struct {
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

func newFixture(t *testing.T, n int) *fixture {
	f := &fixture{}
	var list []netip.AddrPort
	for range n {
		c := listen(t)
		f.instances = append(f.instances, c)
		list = append(list, addr(c))
	}
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	f.Fabric = &fabric.Fabric{
		Clock: func() time.Time { return time.Unix(0, f.now.Load()) }, Rand: rand.New(rand.NewPCG(9, 10)),
		Services: []netip.AddrPort{anyPort, anyPort}, Inside: anyPort,
		List: func(context.Context) ([]netip.AddrPort, error) { return list, nil },
	}
	assert.NilError(t, f.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	f.caller = listen(t)
	return f
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

func (f *fixture) send(t *testing.T, service int, b string) {
	t.Helper()
	_, err := f.caller.WriteToUDPAddrPort([]byte(b), f.Services[service])
	assert.NilError(t, err)
}

// Guards against packets and answers whose payload or addresses are changed, and
// answers that are sent from another service address.
func TestPass(t *testing.T) {
	f := newFixture(t, 1)
	for service := range f.Services {
		f.send(t, service, "not a frame")
		b, from := read(t, f.instances[0], readTimeout)
		assert.Equal(t, from, f.Inside)
		caller, dst, rest, err := wire.DecodeHeader(b)
		assert.NilError(t, err)
		assert.Equal(t, caller, addr(f.caller))
		assert.Equal(t, dst, f.Services[service])
		assert.Equal(t, string(rest), "not a frame")
		_, err = f.instances[0].WriteToUDPAddrPort(b, from)
		assert.NilError(t, err)
		back, from := read(t, f.caller, readTimeout)
		assert.Equal(t, string(back), "not a frame")
		assert.Equal(t, from, f.Services[service])
	}
}

// spray sends n numbered packets and returns the numbers each instance got.
func (f *fixture) spray(t *testing.T, n int) [][]int {
	t.Helper()
	before := f.Counters()
	for i := range n {
		f.send(t, 0, strconv.Itoa(i))
	}
	for end := time.Now().Add(readTimeout); f.Counters().FromCallers < before.FromCallers+uint64(n); {
		assert.Assert(t, time.Now().Before(end), "the fabric did not read all packets in time")
		time.Sleep(time.Millisecond)
	}
	got := make([][]int, len(f.instances))
	for i, c := range f.instances {
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

// Guards against a fabric that sends all packets of a caller to one instance,
// and against a stop that takes effect before its delay or not at all.
func TestSprayAndStop(t *testing.T) {
	f := newFixture(t, 2)
	got := f.spray(t, 100)
	assert.Equal(t, len(got[0])+len(got[1]), 100)
	assert.Assert(t, len(got[0]) >= 25 && len(got[1]) >= 25, "%v", got) // 5 sigma of an even spray
	h := httptest.NewServer(f.Handler())
	defer h.Close()
	res, err := h.Client().Post(h.URL+"/fault", "application/json",
		strings.NewReader(`{"stop":[{"instance":"`+addr(f.instances[0]).String()+`","after":"1s"}]}`))
	assert.NilError(t, err)
	res.Body.Close()
	assert.Assert(t, len(f.spray(t, 50)[0]) > 0)
	f.now.Add(int64(time.Second))
	got = f.spray(t, 50)
	assert.Equal(t, len(got[0]), 0)
	assert.Equal(t, len(got[1]), 50)
}

// Guards against faults that lose packets or have no effect.
func TestDuplicateAndReorder(t *testing.T) {
	f := newFixture(t, 1)
	assert.Assert(t, slices.IsSorted(f.spray(t, 100)[0]))
	f.SetFault(fabric.Fault{Duplicate: 0.5, Reorder: 0.5})
	got := f.spray(t, 100)[0]
	n := f.Counters()
	assert.Assert(t, n.Reordered > 25 && n.Duplicated > 5, "%+v", n)
	assert.Equal(t, len(got), 100+int(n.Duplicated))
	assert.Assert(t, !slices.IsSorted(got))
	slices.Sort(got)
	assert.Equal(t, len(slices.Compact(got)), 100)
}
