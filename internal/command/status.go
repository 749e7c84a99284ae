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

// replicaAnswer is what one control address answered.
type replicaAnswer struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

func showStatus(ctx context.Context, c *cli.Command) error {
	client, _, err := begin(c)
	if err != nil {
		return err
	}
	answers, err := askAll(ctx, client)
	if showErr := show(c, answers, func(w io.Writer) error { return writeStatus(w, answers) }); showErr != nil {
		return showErr
	}
	return err
}

// askAll asks every address at the same time. The error tells that no leader answered.
func askAll(ctx context.Context, client *operator.Client) ([]replicaAnswer, error) {
	addresses := client.Addresses()
	answers := make([]replicaAnswer, len(addresses))
	var mu sync.Mutex
	var last error
	leader := false
	var wg conc.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			status, err := client.Status(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			answers[i].Address = address
			if err != nil {
				answers[i].Error = err.Error()
				last = err
				return
			}
			answers[i].Status = &status
			leader = leader || status.Role == "leader"
		})
	}
	wg.Wait()
	switch {
	case leader:
		return answers, nil
	case exitCode(last) == exitUnauthenticated:
		return answers, last
	case last != nil:
		return answers, errs.New("%w as the leader: %w", operator.ErrUnreachable, last)
	}
	return answers, errs.New("%w as the leader", operator.ErrUnreachable)
}

func writeStatus(w io.Writer, answers []replicaAnswer) error {
	t := &table{header: []string{"ADDRESS", "NAME", "ROLE", "TERM", "COMMIT", "APPLIED", "EPOCH", "LEADER"}}
	var members *operator.Status
	for _, a := range answers {
		if a.Status == nil {
			t.add(a.Address, "", "unreachable", "", "", "", "", "")
			continue
		}
		s := a.Status
		t.add(a.Address, s.Name, s.Role, s.Term, s.Commit, s.Applied, s.Epoch, s.Leader)
		if s.Role == "leader" {
			members = s
		}
	}
	if err := t.write(w); err != nil {
		return err
	}
	for _, a := range answers {
		if a.Status == nil {
			_, _ = fmt.Fprintf(w, "%s: %s\n", a.Address, a.Error)
			continue
		}
		for _, finding := range a.Status.Findings {
			_, _ = fmt.Fprintf(w, "%s: %s\n", a.Address, finding)
		}
	}
	if members == nil {
		return nil
	}
	_, _ = fmt.Fprintln(w)
	t = &table{header: []string{"REPLICA", "PEER ADDRESS", "VOTES", "SYNCED"}}
	for _, m := range members.Members {
		t.add(m.Name, m.Addr, m.Voter, m.Match)
	}
	return t.write(w)
}
