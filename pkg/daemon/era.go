package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
	"ebonypaddle/pkg/store"
)

// LostSettingsError reports a store that came back from an older copy, with other
// settings than those in force.
type LostSettingsError struct {
	// Rev is the revision of the store, InForce that of the settings in force.
	Rev, InForce revs.Rev
	Differences  int
}

func (e *LostSettingsError) Error() string {
	return fmt.Sprintf("the store came back from an older copy: %d differences at revision %v to the settings in force, at %v; see ebonyctl store forward", e.Differences, e.Rev, e.InForce)
}

// checkEra returns a *LostSettingsError if the snapshot is from a later era of the
// store than the settings in force, differs from them and was not confirmed by
// operators. Accepted settings would otherwise revert.
func (d *Daemon) checkEra(ctx context.Context, snap *conf.Snapshot) error {
	inForce := d.settings()
	if inForce == nil {
		return nil
	}
	rev, known := revs.Rev(snap.Rev), revs.Rev(inForce.Rev)
	differences := len(conf.Diff(snap, inForce))
	if rev.Era() <= known.Era() || differences == 0 {
		return nil
	}
	confirmed, err := d.confirmedEra(ctx)
	if err != nil {
		return err
	}
	if confirmed == rev.Era() {
		return nil
	}
	d.Counters.SettingsRegressed.Add(1)
	return &LostSettingsError{Rev: rev, InForce: known, Differences: differences}
}

// confirmedEra returns the era of the store that operators confirmed, 0 for none.
func (d *Daemon) confirmedEra(ctx context.Context) (uint64, error) {
	var v store.Confirmation
	o, err := d.Store.Get(ctx, store.KindEra, store.EraConfirmation)
	if notFound := (*store.NotFoundError)(nil); errors.As(err, &notFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return 0, fmt.Errorf("confirmation of the store's era: %w", err)
	}
	return v.Era, nil
}

// restoreInstances writes the live instances of this failure domain that the store
// lost from its instance list when it came back from an older copy. The fabric sends
// packets to no others, and an instance writes its own entry only at its start. rev is
// the revision of the store.
func (d *Daemon) restoreInstances(ctx context.Context, rev uint64) error {
	era, inForce := revs.Rev(rev).Era(), d.settings()
	if d.instancesEra == nil {
		d.instancesEra = &era
	}
	if inForce == nil || era <= *d.instancesEra {
		return nil
	}
	objs, _, err := d.Store.List(ctx, store.KindInstance)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, o := range objs {
		var v struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(o.Value, &v); err != nil {
			d.log.Warn("entry of the instance list not decoded", "entry", o.Name, "err", err)
			continue
		}
		listed[o.Name] = v.State == stateLive
	}
	var errs error
	for _, e := range d.liveEntries(inForce) {
		if listed[e.Name] {
			continue
		}
		err := d.announceEntry(ctx, e.Name, e.Data, stateLive)
		if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
			err = nil // the other reader of the domain wrote it
		}
		d.log.Info("instance written to the instance list again", "entry", e.Name, "rev", revs.Rev(rev), "err", err)
		errs = errors.Join(errs, err)
	}
	if errs == nil {
		d.instancesEra = &era
	}
	return errs
}

// liveEntries returns the entries of the live instances of this failure domain that
// are not leaving.
func (d *Daemon) liveEntries(s *conf.Snapshot) []conf.Entry {
	d.mu.Lock()
	live := d.core.Members.Alive(d.core.Domain)
	d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.Domains[d.core.Domain].Entries), func(e conf.Entry) bool { return !slices.Contains(live, e.Peer) })
}
