package verbs

import (
	"context"
	"fmt"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/revs"
)

// StoreBehindError reports a store that lost changes: its revision is below that
// of the instances, it came back from an older copy and is in a later era than
// theirs, or its settings differ from theirs. Instances ignore the store until its
// revision is higher than theirs, and one in a later era until its settings are equal
// to theirs or were confirmed by store forward.
type StoreBehindError struct {
	// Rev is the revision of the edit if Accepted is set, else the revision of
	// the store. HighestRev is the highest revision on any instance.
	Rev, HighestRev uint64
	Accepted        bool
}

// Error describes the difference and names the command that repairs it.
func (e *StoreBehindError) Error() string {
	rev, highest := revs.Rev(e.Rev), revs.Rev(e.HighestRev)
	msg := fmt.Sprintf("the store is at revision %v, but", rev)
	switch {
	case e.Accepted:
		msg = fmt.Sprintf("the edit was accepted at revision %v but is not in force, because", rev)
	case rev > highest && rev.Era() == highest.Era():
		return fmt.Sprintf("the settings in the store, at revision %v, differ from those of the instances, at revision %v", rev, highest)
	}
	return fmt.Sprintf("%s instances have revision %v: the store lost changes; see ebonyctl store forward", msg, highest)
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

// inOtherEra reports whether a revision of the store is in another era than the
// highest revision on any instance. It is false without an instance.
func (a *App) inOtherEra(rev uint64) bool {
	return a.highestRev != 0 && revs.Rev(rev).Era() != revs.Rev(a.highestRev).Era()
}

// checkStoreRev returns a *StoreBehindError if the store's revision is below that
// of the instances or in a later era. A store that does not respond causes only a
// warning, because the commands that query instances work without it.
func (a *App) checkStoreRev(ctx context.Context) error {
	var rev uint64
	for range maxStoreReads {
		r, _, err := a.objects.List(ctx, conf.KindKey)
		if err != nil {
			a.warn("cannot read the revision of the store: %v\n", err)
			return nil
		}
		if rev = max(rev, r); rev >= a.highestRev && !a.inOtherEra(rev) {
			return nil
		}
		if err := a.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return &StoreBehindError{Rev: rev, HighestRev: a.highestRev}
}
