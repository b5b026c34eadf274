package verbs

import (
	"context"
	"fmt"

	"ebonypaddle/pkg/conf"
)

// StoreBehindError reports a store that lost changes: its revision is below that
// of the instances, or its settings differ from theirs. Instances ignore the store
// until its revision is higher than theirs.
type StoreBehindError struct {
	// Rev is the revision of the edit if Accepted is set, else the revision of
	// the store. HighestRev is the highest revision on any instance.
	Rev, HighestRev uint64
	Accepted        bool
}

// Error describes the difference and names the command that repairs it.
func (e *StoreBehindError) Error() string {
	msg := fmt.Sprintf("the store is at revision %d, but", e.Rev)
	switch {
	case e.Accepted:
		msg = fmt.Sprintf("the edit was accepted at revision %d but is not in force, because", e.Rev)
	case e.Rev > e.HighestRev:
		return fmt.Sprintf("the settings in the store, at revision %d, differ from those of the instances, at revision %d", e.Rev, e.HighestRev)
	}
	return fmt.Sprintf("%s instances have revision %d: the store lost changes; see ebonyctl store forward", msg, e.HighestRev)
}

// readHighestRev reads the highest revision on any instance. It must run before an
// edit: the revision of the edit is above it unless the store lost changes.
func (a *App) readHighestRev(ctx context.Context) {
	var err error
	if a.highestRev, err = a.instances.HighestRev(ctx); err != nil {
		a.highestRev = 0
		a.warn("cannot read the revisions of the instances, so a store that lost changes would not be noticed: %v\n", err)
	}
}

// maxStoreReads bounds the reads of the store's revision. A lagging replica of the
// store also returns a low revision, but only for a short time.
const maxStoreReads = 4

// checkStoreRev returns a *StoreBehindError if the store's revision is below that
// of the instances. A store that does not respond causes only a warning, because
// the commands that query instances work without it.
func (a *App) checkStoreRev(ctx context.Context) error {
	var rev uint64
	for range maxStoreReads {
		r, _, err := a.objects.List(ctx, conf.KindKey)
		if err != nil {
			a.warn("cannot read the revision of the store: %v\n", err)
			return nil
		}
		if rev = max(rev, r); rev >= a.highestRev {
			return nil
		}
		if err := a.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return &StoreBehindError{Rev: rev, HighestRev: a.highestRev}
}
