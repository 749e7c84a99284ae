package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print changes of rules, instances, pools, waves and entry instances",
		Description: `Prints a line for each change until it is interrupted. JSON output has one object
per line.

Example:
  cactusspar watch --interval 1s`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Usage: "time between two looks", Value: 2 * time.Second},
			&cli.IntFlag{Name: "count", Usage: "end after this number of looks; 0 means never"},
		},
		Action: watch,
	}
}

// minWatchInterval limits the load that a watch puts on the leader.
const minWatchInterval = 100 * time.Millisecond

func watch(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	interval := c.Duration("interval")
	if interval < minWatchInterval {
		return newUsageError("--interval: expected at least %s", minWatchInterval)
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	previous := map[string]string{}
	for poll := 1; ; poll++ {
		current, err := observeItems(ctx, client)
		switch {
		case ctx.Err() != nil:
			return nil
		case exitCode(err) == exitUnauthenticated:
			return err
		case err != nil:
			_, _ = fmt.Fprintln(c.Root().ErrWriter, describe(err))
		default:
			writeWatchEvents(c.Root().Writer, c.String(flagOutput), previous, current)
			previous = current
		}
		if count := c.Int("count"); count > 0 && poll >= count {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// observeItems returns a one-line description of every watched item.
func observeItems(ctx context.Context, client *operator.Client) (map[string]string, error) {
	items := map[string]string{}
	history, err := client.History(ctx)
	if err != nil {
		return nil, err
	}
	if n := len(history); n > 0 && history[n-1].Version > 0 {
		items["rules"] = fmt.Sprintf("version %d by %s", history[n-1].Version, history[n-1].Author)
	}
	instances, err := client.Instances(ctx, "", "")
	if err != nil {
		return nil, err
	}
	for _, i := range instances {
		items["instance "+i.ID] = fmt.Sprintf("%s in pool %s", i.Condition, i.Pool)
	}
	waves, err := client.Waves(ctx, "")
	if err != nil {
		return nil, err
	}
	for _, w := range waves {
		items["wave "+w.ID] = describeWave(w)
	}
	entries, err := client.Entries(ctx)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		items["entry "+e.ID] = fmt.Sprintf("incarnation %d in %s", e.Incarnation, e.DataCentre)
	}
	assignments, err := client.Assignments(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range assignments {
		items["pool "+a.Pool] = fmt.Sprintf("dispatcher %s, backup %s, epoch %d", cell(a.Dispatcher), cell(a.Backup), a.Epoch)
	}
	return items, nil
}

func describeWave(w state.Wave) string {
	text := fmt.Sprintf("%s, %d of %d instances done", w.Status, len(w.Done), len(w.Done)+len(w.Todo))
	if w.Reason != "" {
		text += ": " + w.Reason
	}
	return text
}

// watchEvent is the JSON form of one change.
type watchEvent struct {
	At   time.Time `json:"at"`
	Item string    `json:"item"`
	Was  string    `json:"was,omitempty"`
	Is   string    `json:"is,omitempty"`
}

func writeWatchEvents(w io.Writer, format string, before, after map[string]string) {
	var items []string
	for item := range after {
		if before[item] != after[item] {
			items = append(items, item)
		}
	}
	for item := range before {
		if _, still := after[item]; !still {
			items = append(items, item)
		}
	}
	slices.Sort(items)
	for _, item := range items {
		event := watchEvent{At: time.Now().UTC(), Item: item, Was: before[item], Is: after[item]}
		if format == outputJSON {
			_ = json.NewEncoder(w).Encode(event)
			continue
		}
		text := event.Is
		if text == "" {
			text = "gone"
		}
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", event.At.Format(time.RFC3339), item, text)
	}
}
