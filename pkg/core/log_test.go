package core

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// allWarm reports every server to the picker as usable and warm.
type allWarm struct{}

func (allWarm) Usable(now time.Time, _ conf.ServerID) (time.Time, wire.Reason) {
	return now.Add(time.Second), wire.ReasonNone
}

func (allWarm) Stage(conf.ServerID) (int, int, bool) { return 4, 0, true }

// Guards against a request that ends without log lines that contain its
// identifier and the cause, and against lines without the revision of the
// settings that the decision was based on.
func TestLines(t *testing.T) {
	request := func(c *Core, change func(*wire.Packet)) wire.RequestID {
		p := &wire.Packet{Caller: netip.MustParseAddrPort("127.0.3.1:1"), Service: netip.MustParseAddrPort("127.0.2.1:7000")}
		p.Frame = wire.Frame{Kind: wire.KindRequest, ID: wire.RequestID{0xab}, Timeout: 1000}
		if change != nil {
			change(p)
		}
		c.HandleCaller(startTime, p)
		return p.Frame.ID
	}
	for name, tc := range map[string]struct {
		act  func(c *Core) wire.RequestID
		want []string
	}{
		"refused": {
			func(c *Core) wire.RequestID { return request(c, nil) },
			[]string{`msg="request refused"`, "reason=coldLimit", "outcome=unknown"},
		},
		"unknown service": {
			func(c *Core) wire.RequestID {
				return request(c, func(p *wire.Packet) { p.Service = netip.MustParseAddrPort("127.0.2.9:7000") })
			},
			[]string{`msg="request refused"`, "reason=unknownService"},
		},
		"dropped": {
			func(c *Core) wire.RequestID {
				return request(c, func(p *wire.Packet) { p.Frame.Kind = wire.KindCancel })
			},
			[]string{`msg="frame dropped"`, "kind=cancel", "reason=cancelled"},
		},
		"ticket": {
			func(c *Core) wire.RequestID {
				return request(c, func(p *wire.Packet) { p.Frame.Flags = wire.FlagOnce })
			},
			[]string{`msg="ticket issued"`},
		},
		"timed out": {
			func(c *Core) wire.RequestID {
				c.Picker.Servers = allWarm{}
				id := request(c, nil)
				for i := range 60 {
					c.Tick(startTime.Add(time.Duration(i) * 20 * time.Millisecond))
				}
				return id
			},
			[]string{`msg="request placed"`, "rev=1", `msg="attempt ended"`, "result=timedOut", "reason=timeout"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			c := newTestCore(t)
			log := slog.New(slog.NewTextHandler(&out, nil))
			c.Log, c.Requests.Log = log, log
			id := tc.act(c).LogValue().String()
			lines := ""
			for l := range strings.Lines(out.String()) {
				if strings.Contains(l, "request="+id) {
					lines += l
				}
			}
			for _, w := range tc.want {
				assert.Assert(t, strings.Contains(lines, w), "no %s in\n%s", w, lines)
			}
		})
	}
}
