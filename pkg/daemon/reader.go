package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/admin"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/dist"
	"ebonypaddle/pkg/store"
	"ebonypaddle/pkg/wait"
)

const (
	// startJitter spreads the first pulls from peers, and readJitter the first
	// reads of the platform, when all instances start at the same time.
	startJitter = time.Second
	readJitter  = 2 * time.Second
	// minReaderAge is the time since the start of the process before it may
	// become a reader. By then it knows the other members.
	minReaderAge = 3 * time.Second
	// watchTimeout is the longest duration of one watch request. Each response
	// confirms the current revision, so this is well below the time for which
	// settings count as fresh.
	watchTimeout = time.Second
	// pollInterval is the wait before the next check when there is nothing to
	// do or a pull failed.
	pollInterval = 100 * time.Millisecond
	// errorPause is the wait after an error of the object API.
	errorPause = 500 * time.Millisecond
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 2 * time.Second
)

// readSettings keeps the settings up to date until ctx ends. It pulls them from
// peers at the start, reads them from the platform while this instance has none
// or is a reader, and pulls changes that do not fit in a datagram from a peer
// over TCP.
func (d *Daemon) readSettings(ctx context.Context) {
	startedAt := d.Clock()
	rnd := rand.New(rand.NewPCG(d.Seed, 2))
	d.startSettings(ctx, rnd)
	for ctx.Err() == nil {
		if from, ok := d.bulkPullAddr(); ok {
			d.pullOrPause(ctx, from)
			continue
		}
		if d.rev() == 0 || d.Clock().Sub(startedAt) >= minReaderAge && d.isReader() {
			d.readOnce(ctx)
			continue
		}
		wait.Pause(ctx, pollInterval)
	}
}

// startSettings pulls the settings from peers, so that a restart of all
// instances does not overload the platform. If no peer has settings, it waits
// for a random time before readSettings reads them from the platform.
func (d *Daemon) startSettings(ctx context.Context, rnd *rand.Rand) {
	wait.Pause(ctx, time.Duration(rnd.Int64N(int64(startJitter))))
	for _, a := range d.Process.Peers {
		if a != d.Process.Admin {
			d.pull(ctx, a)
		}
	}
	if d.rev() == 0 {
		wait.Pause(ctx, time.Duration(rnd.Int64N(int64(readJitter))))
	}
}

// rev returns the revision of the settings in force, 0 without any.
func (d *Daemon) rev() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Replica.Rev()
}

// isReader reports whether this instance reads the platform for its failure
// domain, and logs when that changes.
func (d *Daemon) isReader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	reader := d.core.IsReader(d.Clock())
	if reader != d.wasReader {
		d.wasReader = reader
		d.log.Info("reader role changed", "reader", reader)
	}
	return reader
}

// bulkPullAddr returns the admin address of a peer whose change did not fit in
// a datagram, and false if there is none or its address is not known.
func (d *Daemon) bulkPullAddr() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.core.BulkPeer()
	if !ok || d.core.Snapshot() == nil {
		return netip.AddrPort{}, false
	}
	for _, dom := range d.core.Snapshot().Domains {
		for _, e := range dom.Entries {
			if e.Peer == peer {
				return e.Admin, true
			}
		}
	}
	return netip.AddrPort{}, false
}

// pullOrPause pulls from a peer and waits for pollInterval if that fails.
func (d *Daemon) pullOrPause(ctx context.Context, a netip.AddrPort) {
	if !d.pull(ctx, a) {
		wait.Pause(ctx, pollInterval)
	}
}

// pull fetches and applies the changes since this instance's revision from the
// peer at admin address a. It reports whether that succeeded.
func (d *Daemon) pull(ctx context.Context, a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	d.Counters.Pulls.Add(1)
	client := &admin.Client{HTTP: http.DefaultClient, URL: "http://" + a.String(), Key: clusterToken(d.Process)}
	resp, err := client.Pull(ctx, d.rev())
	if err != nil {
		d.log.Info("settings not pulled", "from", a, "err", err)
		d.Counters.PullErrors.Add(1)
		return false
	}
	if len(resp.Delta) == 0 {
		return true
	}
	delta, err := dist.DecodeDelta(resp.Delta)
	if err != nil {
		d.log.Warn("settings not pulled", "from", a, "err", err)
		d.Counters.PullErrors.Add(1)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sends, err := d.core.ApplyDelta(d.Clock(), delta)
	d.send(sends)
	if err != nil {
		d.countRefused(err)
		return false
	}
	return true
}

// countRefused counts and logs settings that were not applied.
func (d *Daemon) countRefused(err error) {
	d.Counters.SettingsRefused.Add(1)
	d.log.Error("settings refused", "err", err)
}

// readOnce sends one watch request to the platform, or lists all settings if
// there is no revision to watch from. After an error it waits for errorPause.
func (d *Daemon) readOnce(ctx context.Context) {
	d.Counters.Reads.Add(1)
	err := d.watchStore(ctx)
	if ctx.Err() != nil {
		return
	}
	d.logOutage(err)
	if err != nil {
		d.Counters.ReadErrors.Add(1)
		wait.Pause(ctx, errorPause)
	}
}

// logOutage logs the first failure of the object API and its recovery. err is
// the result of the latest read.
func (d *Daemon) logOutage(err error) {
	if err != nil {
		if d.outage.RecordFailure(d.Clock()) {
			d.log.Warn("store lost", "rev", d.rev(), "err", err)
		}
		return
	}
	if duration, ended := d.outage.RecordSuccess(d.Clock()); ended {
		d.log.Info("store regained", "rev", d.rev(), "after", duration)
	}
}

// watchStore waits for the next events of the platform, for at most watchTimeout,
// and applies them. It lists all settings if this instance has none or the
// platform no longer has the events since the known revision.
func (d *Daemon) watchStore(ctx context.Context) error {
	base := d.settings()
	if base == nil {
		return d.listStore(ctx)
	}
	// Changes to the instance list also raise the platform's revision, but not
	// the revision of the settings. Otherwise every restart of an instance
	// would distribute new settings to all others.
	since := max(d.watchedRev, base.Rev)
	requestedAt := d.Clock()
	events, rev, err := d.Store.Watch(ctx, since, watchTimeout)
	var gone *store.GoneError
	if errors.As(err, &gone) {
		return d.listStore(ctx)
	}
	if err != nil {
		return err
	}
	if err := d.restoreInstances(ctx, rev); err != nil {
		return err
	}
	if rev < since {
		d.Counters.SettingsRegressed.Add(1)
		return nil
	}
	events = slices.DeleteFunc(events, func(e store.Event) bool { return e.Kind == store.KindInstance || e.Kind == store.KindEra })
	d.watchedRev = rev
	d.applyEvents(requestedAt, base, rev, events)
	return nil
}

// settings returns the settings in force, nil without any.
func (d *Daemon) settings() *conf.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Replica.Current()
}

// applyEvents applies events to base, unless base is no longer in force. A
// response without events confirms the revision of base. Malformed objects are
// skipped. requestedAt is when the watch request was sent.
func (d *Daemon) applyEvents(requestedAt time.Time, base *conf.Snapshot, rev uint64, events []store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core.Replica.Current() != base {
		return
	}
	if len(events) == 0 {
		d.core.ConfirmSettings(d.Clock(), requestedAt, base.Rev)
		return
	}
	snap := base
	for _, e := range events {
		n, problems := snap.With(conf.Object{Kind: conf.Kind(e.Kind), Name: e.Name, Rev: e.Rev, Value: e.Value, Deleted: e.Deleted})
		if len(problems) > 0 {
			d.countRefused(problems)
			continue
		}
		snap = n
	}
	final := *snap
	final.Rev = rev
	d.applySnapshot(requestedAt, &final)
}

// applySnapshot passes a snapshot read from the platform to the core. The
// caller holds mu.
func (d *Daemon) applySnapshot(requestedAt time.Time, snap *conf.Snapshot) {
	sends, _, err := d.core.ApplySettings(d.Clock(), requestedAt, snap)
	d.send(sends)
	if err != nil {
		d.countRefused(err)
	}
}

// listStore reads and applies all settings. Each kind of object is read at the
// revision of its own request. If the revision changed between the first and
// the last, nothing is applied and the caller's next read lists again.
func (d *Daemon) listStore(ctx context.Context) error {
	kinds := []string{store.KindNode, store.KindDomain, store.KindServer, store.KindKey}
	requestedAt := d.Clock()
	var objects []conf.Object
	var first, last uint64
	for i, kind := range kinds {
		objs, rev, err := d.Store.List(ctx, kind)
		if err != nil {
			return err
		}
		if i == 0 {
			first = rev
		}
		last = rev
		for _, o := range objs {
			objects = append(objects, conf.Object{Kind: conf.Kind(o.Kind), Name: o.Name, Rev: o.Rev, Value: o.Value})
		}
	}
	if first != last {
		return nil
	}
	snap, problems := conf.Build(last, objects)
	if len(problems) > 0 {
		d.countRefused(problems)
	}
	if err := d.restoreInstances(ctx, last); err != nil {
		return err
	}
	if err := d.checkEra(ctx, snap); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applySnapshot(requestedAt, snap)
	return nil
}
