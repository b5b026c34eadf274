package verbs

import (
	"context"
	"fmt"

	"ebonypaddle/pkg/conf"
)

// StoreLost reports a store whose revision is below the one that instances
// hold. Instances ignore it until it is higher.
type StoreLost struct {
	// Rev is the revision of the edit if Accepted is set, else the store's.
	Rev, Highest uint64
	Accepted     bool
}

// Error says what is not in force and how to repair it.
func (e *StoreLost) Error() string {
	what := fmt.Sprintf("the store is at revision %d, but", e.Rev)
	switch {
	case e.Accepted:
		what = fmt.Sprintf("the edit was accepted at revision %d and is not in force, because", e.Rev)
	case e.Rev > e.Highest:
		return fmt.Sprintf("the store, at revision %d, differs from what the instances hold at %d", e.Rev, e.Highest)
	}
	return fmt.Sprintf("%s instances hold revision %d: the store lost changes; see ebonyctl store forward", what, e.Highest)
}

// readHighest reads the instances' revisions. It runs before an edit: the
// store orders a later edit above them unless it lost changes.
func (a *App) readHighest(ctx context.Context) {
	var err error
	if a.highest, err = a.instances.Highest(ctx); err != nil {
		a.highest = 0
		a.warn("the revisions of the instances are not known, so a store that lost changes would not be noticed: %v\n", err)
	}
}

// storeReads bounds the reads of the store's revision. A lagging replica of
// the store also answers with a low revision, but not for long.
const storeReads = 4

// checkStore reports a store below the instances. A store that does not answer
// is no error, since what asks instances works without it.
func (a *App) checkStore(ctx context.Context) error {
	var rev uint64
	for range storeReads {
		r, _, err := a.objects.List(ctx, conf.KindKey)
		if err != nil {
			a.warn("the store's revision is not known: %v\n", err)
			return nil
		}
		if rev = max(rev, r); rev >= a.highest {
			return nil
		}
		if err := a.Pause(ctx, watchPause); err != nil {
			return err
		}
	}
	return &StoreLost{Rev: rev, Highest: a.highest}
}
