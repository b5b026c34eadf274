package relay

import (
	"context"
	"net"
	"time"

	"ebonypaddle/pkg/router"
	"ebonypaddle/pkg/wait"
)

const (
	// probeInterval is the interval at which unreachable failure domains are
	// probed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe. It is many times the longest network
	// delay.
	probeTimeout = 300 * time.Millisecond
)

// probe connects to one server of each failure domain that is considered
// unreachable. This detects that the domain is reachable again without delaying
// the packets of a caller.
func (r *Relay) probe(ctx context.Context) {
	var ps []router.Probe
	for ctx.Err() == nil {
		wait.Pause(ctx, probeInterval)
		r.mu.Lock()
		ps = r.Balancer.Probes(ps[:0])
		r.mu.Unlock()
		for _, p := range ps {
			if r.canConnect(ctx, p) {
				r.mu.Lock()
				r.Balancer.MarkReachable(r.Clock(), p.Domain)
				r.mu.Unlock()
			}
		}
	}
}

// canConnect reports whether a TCP connection to the probe's target succeeds.
func (r *Relay) canConnect(ctx context.Context, p router.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", p.Target.Addr.String())
	if err != nil {
		r.Log.Info("failure domain not reached", "domain", p.Domain, "addr", p.Target.Addr, "err", err)
		return false
	}
	_ = c.Close()
	return true
}
