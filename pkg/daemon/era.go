package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

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
