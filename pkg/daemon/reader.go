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
	// startJitter spreads the first questions when all instances start at
	// once, readJitter the first reads of the platform.
	startJitter = time.Second
	readJitter  = 2 * time.Second
	// readerAfter is the age of the process at which it may become a reader;
	// by then it has heard of the other members.
	readerAfter = 3 * time.Second
	// watchWait is how long one watch waits. Its end confirms the revision,
	// so it stays well below the time for which settings count as fresh.
	watchWait = time.Second
	// pause is the wait between steps that found nothing to do.
	pause = 100 * time.Millisecond
	// errorPause is the wait after an error of the platform.
	errorPause = 500 * time.Millisecond
	// pullTime bounds one pull from a peer.
	pullTime = 2 * time.Second
)

// readSettings keeps the settings up to date: from peers at the start, from
// the platform while this instance is a reader, and over TCP when a change
// does not fit in a datagram.
func (d *Daemon) readSettings(ctx context.Context) {
	began := d.Clock()
	rnd := rand.New(rand.NewPCG(d.Seed, 2))
	d.startSettings(ctx, rnd)
	for ctx.Err() == nil {
		if from, ok := d.bulk(); ok {
			d.pullFrom(ctx, from)
			continue
		}
		if d.rev() == 0 || d.Clock().Sub(began) >= readerAfter && d.isReader() {
			d.readOnce(ctx)
			continue
		}
		wait.Pause(ctx, pause)
	}
}

// startSettings asks peers first, so that a restart of all instances does not
// load the platform, then the platform until there are settings.
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

func (d *Daemon) rev() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Replica.Rev()
}

func (d *Daemon) isReader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	is := d.core.IsReader(d.Clock())
	if is != d.reader {
		d.reader = is
		d.log.Info("reader role changed", "reader", is)
	}
	return is
}

// bulk returns the admin address of a peer whose change did not fit in a
// datagram.
func (d *Daemon) bulk() (netip.AddrPort, bool) {
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

func (d *Daemon) pullFrom(ctx context.Context, a netip.AddrPort) {
	if !d.pull(ctx, a) {
		wait.Pause(ctx, pause)
	}
}

// pull takes what this instance lacks from the peer at an admin address.
func (d *Daemon) pull(ctx context.Context, a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	d.Counters.Pulls.Add(1)
	c := &admin.Client{HTTP: http.DefaultClient, URL: "http://" + a.String(), Key: clusterToken(d.Process)}
	ans, err := c.Pull(ctx, d.rev())
	if err != nil {
		d.log.Info("settings not pulled", "from", a, "err", err)
		d.Counters.PullErrors.Add(1)
		return false
	}
	if len(ans.Delta) == 0 {
		return true
	}
	delta, err := dist.DecodeDelta(ans.Delta)
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
		d.refused(err)
		return false
	}
	return true
}

func (d *Daemon) refused(err error) {
	d.Counters.SettingsRefused.Add(1)
	d.log.Error("settings refused", "err", err)
}

// readOnce watches the platform once, or lists everything when there is no
// revision to watch from.
func (d *Daemon) readOnce(ctx context.Context) {
	d.Counters.Reads.Add(1)
	err := d.watch(ctx)
	if ctx.Err() != nil {
		return
	}
	d.noteStore(err)
	if err != nil {
		d.Counters.ReadErrors.Add(1)
		wait.Pause(ctx, errorPause)
	}
}

// noteStore logs when the object API is lost and regained.
func (d *Daemon) noteStore(err error) {
	if err != nil {
		if d.outage.Failed(d.Clock()) {
			d.log.Warn("store lost", "rev", d.rev(), "err", err)
		}
		return
	}
	if lost, was := d.outage.Answered(d.Clock()); was {
		d.log.Info("store regained", "rev", d.rev(), "after", lost)
	}
}

func (d *Daemon) watch(ctx context.Context) error {
	base := d.settings()
	if base == nil {
		return d.list(ctx)
	}
	// Entries of the instance list raise the revision too. Settings keep
	// theirs then, so that a restart of an instance changes nothing elsewhere.
	since := max(d.seen, base.Rev)
	asked := d.Clock()
	events, rev, err := d.Store.Watch(ctx, since, watchWait)
	var gone *store.GoneError
	if errors.As(err, &gone) {
		return d.list(ctx)
	}
	if err != nil {
		return err
	}
	if rev < since {
		d.Counters.SettingsRegressed.Add(1)
		return nil
	}
	events = slices.DeleteFunc(events, func(e store.Event) bool { return e.Kind == store.KindInstance })
	d.seen = rev
	d.offerEvents(asked, base, rev, events)
	return nil
}

func (d *Daemon) settings() *conf.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Replica.Current()
}

// offerEvents applies changes to the snapshot they start from. The answer
// confirms the revision even when nothing changed.
func (d *Daemon) offerEvents(asked time.Time, base *conf.Snapshot, rev uint64, events []store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core.Replica.Current() != base {
		return
	}
	if len(events) == 0 {
		d.core.ConfirmSettings(d.Clock(), asked, base.Rev)
		return
	}
	snap := base
	for _, e := range events {
		n, problems := snap.With(conf.Object{Kind: conf.Kind(e.Kind), Name: e.Name, Rev: e.Rev, Value: e.Value, Deleted: e.Deleted})
		if len(problems) > 0 {
			d.refused(problems)
			continue
		}
		snap = n
	}
	final := *snap
	final.Rev = rev
	d.offer(asked, &final)
}

// offer hands a snapshot of the platform to the core. The caller holds mu.
func (d *Daemon) offer(asked time.Time, snap *conf.Snapshot) {
	sends, _, err := d.core.ApplySettings(d.Clock(), asked, snap)
	d.send(sends)
	if err != nil {
		d.refused(err)
	}
}

// list reads all settings. Each kind is read at its own revision, so they are
// read again until no kind changed in between.
func (d *Daemon) list(ctx context.Context) error {
	kinds := []string{store.KindNode, store.KindDomain, store.KindServer, store.KindKey}
	asked := d.Clock()
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
		d.refused(problems)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offer(asked, snap)
	return nil
}
