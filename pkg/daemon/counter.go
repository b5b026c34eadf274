package daemon

import "sync/atomic"

// Counters holds the counters of the daemon's I/O.
type Counters struct {
	// PeerBytesIn counts all bytes received from other instances. PeerBytesOut
	// counts the bytes of control datagrams sent to them, RelayBytesOut those
	// of callers' requests relayed to the instances that issued their tickets,
	// and ProbeBytesOut those of probes sent to backend servers.
	PeerBytesIn, PeerBytesOut, RelayBytesOut, ProbeBytesOut atomic.Uint64
	// Pulls and PullErrors count pulls of settings from peers and those that
	// failed, Reads and ReadErrors the same for reads of the object API.
	Pulls, PullErrors, Reads, ReadErrors atomic.Uint64
	// SettingsRefused counts objects and snapshots that were not applied.
	// SettingsRegressed counts responses of the platform with a lower revision
	// than this instance already has, as from a lagging replica or a restored
	// backup.
	SettingsRefused, SettingsRegressed atomic.Uint64
	// AnnounceErrors counts failed writes of the instance list.
	AnnounceErrors atomic.Uint64
}

// Map returns the counters by name.
func (c *Counters) Map() map[string]uint64 {
	return map[string]uint64{
		"peerBytesIn": c.PeerBytesIn.Load(), "peerBytesOut": c.PeerBytesOut.Load(), "probeBytesOut": c.ProbeBytesOut.Load(), "relayBytesOut": c.RelayBytesOut.Load(),
		"pulls": c.Pulls.Load(), "pullErrors": c.PullErrors.Load(),
		"reads": c.Reads.Load(), "readErrors": c.ReadErrors.Load(),
		"settingsRefused": c.SettingsRefused.Load(), "settingsRegressed": c.SettingsRegressed.Load(),
		"announceErrors": c.AnnounceErrors.Load(),
	}
}

// Settings returns the revision of the settings in force under the key rev, 0
// without any, and nil before the start.
func (d *Daemon) Settings() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core == nil {
		return nil
	}
	return map[string]uint64{"rev": d.core.Replica.Rev()}
}

// Tables returns the counters and sizes of the core's tables by package, and
// nil before the start.
func (d *Daemon) Tables() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core == nil {
		return nil
	}
	c := d.core
	return map[string]any{
		"flow": c.Router.Counters, "member": c.Members.Counters, "dist": c.Replica.Counters,
		"calls": c.Requests.Size(),
		"server": struct{ Falls, Mismatches, Suspected, StaleUpdates uint64 }{
			c.Servers.Falls, c.Servers.Mismatches, c.Servers.Suspected, c.Servers.StaleUpdates,
		},
		"pick":  struct{ Placed, Local, Cold uint64 }{c.Picker.Placed, c.Picker.Local, c.Picker.Cold},
		"admin": d.admin.Refusals.Map(),
	}
}
