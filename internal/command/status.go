package command

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the status of every control replica",
		Description: `Asks every control address and succeeds if one replica answers as the leader.

Example:
  cactusspar status`,
		Action: showStatus,
	}
}

// replicaStatus is the status or the error returned by one control address.
type replicaStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

func showStatus(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	statuses, err := queryStatuses(ctx, client)
	if showErr := show(c, statuses, func(w io.Writer) error { return writeStatus(w, statuses) }); showErr != nil {
		return showErr
	}
	return err
}

// queryStatuses queries all control addresses concurrently. It returns an error if
// no leader answers.
func queryStatuses(ctx context.Context, client *operator.Client) ([]replicaStatus, error) {
	addresses := client.Addresses()
	statuses := make([]replicaStatus, len(addresses))
	var mu sync.Mutex
	var lastErr error
	leaderFound := false
	var wg conc.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			status, err := client.Status(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			statuses[i].Address = address
			if err != nil {
				statuses[i].Error = err.Error()
				lastErr = err
				return
			}
			statuses[i].Status = &status
			leaderFound = leaderFound || status.Role == "leader"
		})
	}
	wg.Wait()
	switch {
	case leaderFound:
		return statuses, nil
	case exitCode(lastErr) == exitUnauthenticated:
		return statuses, lastErr
	case lastErr != nil:
		return statuses, errs.New("%w as the leader: %w", operator.ErrUnreachable, lastErr)
	}
	return statuses, errs.New("%w as the leader", operator.ErrUnreachable)
}

func writeStatus(w io.Writer, statuses []replicaStatus) error {
	t := &table{header: []string{"ADDRESS", "NAME", "ROLE", "TERM", "COMMIT", "APPLIED", "EPOCH", "LEADER"}}
	var leaderStatus *operator.Status
	for _, replica := range statuses {
		if replica.Status == nil {
			t.add(replica.Address, "", "unreachable", "", "", "", "", "")
			continue
		}
		s := replica.Status
		t.add(replica.Address, s.Name, s.Role, s.Term, s.Commit, s.Applied, s.Epoch, s.Leader)
		if s.Role == "leader" {
			leaderStatus = s
		}
	}
	if err := t.write(w); err != nil {
		return err
	}
	for _, replica := range statuses {
		if replica.Status == nil {
			_, _ = fmt.Fprintf(w, "%s: %s\n", replica.Address, replica.Error)
			continue
		}
		for _, finding := range replica.Status.Findings {
			_, _ = fmt.Fprintf(w, "%s: %s\n", replica.Address, finding)
		}
	}
	if leaderStatus == nil {
		return nil
	}
	_, _ = fmt.Fprintln(w)
	t = &table{header: []string{"REPLICA", "PEER ADDRESS", "VOTES", "SYNCED"}}
	for _, m := range leaderStatus.Members {
		t.add(m.Name, m.Addr, m.Voter, m.Match)
	}
	return t.write(w)
}
