package elmcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmsite"
)

const (
	waitTimeout  = 11 * time.Second
	waitInterval = 200 * time.Millisecond
)

// change applies an edit to the accepted configuration. With -wait, it then waits
// until the change is in force everywhere.
func change(ctx context.Context, sf *siteFlags, text string, edit elmsite.Edit) error {
	site, err := sf.open()
	if err != nil {
		return err
	}
	proposed := elmconfig.Change{ID: uuid.NewString(), Operator: operator(), Time: time.Now().UTC(), Text: text}
	accepted, err := site.Change(ctx, proposed, edit)
	var conflict *elmsite.Conflict
	if errors.As(err, &conflict) {
		return fmt.Errorf("%w\n  accepted: %s\n  yours:    %s\nRead the configuration again, then repeat yours if it still fits",
			errConflict, describe(conflict.Accepted), describe(proposed))
	}
	if err != nil {
		return fmt.Errorf("change %s: %w", proposed.ID, err)
	}
	if err := sf.print(accepted, func(w *tabwriter.Writer) { fmt.Fprintf(w, "revision %d accepted\n", accepted.Revision) }); err != nil {
		return err
	}
	if !sf.wait {
		return nil
	}
	return waitInForce(ctx, site, accepted.Revision)
}

// waitInForce prints the progress of a revision until it is in force everywhere.
func waitInForce(ctx context.Context, site *elmsite.Site, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	start := time.Now()
	last := elmsite.Progress{}
	for {
		progress, err := site.Progress(ctx, revision)
		if err == nil && progress != last {
			fmt.Fprintf(os.Stderr, "in force at %d of %d entries and %d of %d agents\n",
				progress.Entries, progress.TotalEntries, progress.Agents, progress.TotalAgents)
			last = progress
		}
		if err == nil && progress.Done() {
			fmt.Fprintf(os.Stderr, "revision %d is in force everywhere after %s\n", revision, time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: revision %d", errNotInForce, revision)
		}
	}
}

func describe(c elmconfig.Change) string {
	return fmt.Sprintf("%q by %s at %s", c.Text, c.Operator, c.Time.Format("15:04:05"))
}

// operator returns the name of the current user.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
