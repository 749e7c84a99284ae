package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "give, withdraw and list the keys of teams",
		Commands: []*cli.Command{
			{
				Name: "give", Usage: "give a team a new key", ArgsUsage: "TEAM",
				Description: `Makes a random key, gives it to the team and shows it once. Only its hash is
kept. With --file the key is written to a new file and not shown.

Example:
  cactusspar keys give --id shops-2026 --file shops.key shops`,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "id", Usage: "`ID` of the key; by default the team and a random part"},
					&cli.StringFlag{Name: "file", Usage: "new `FILE` for the key"},
				},
				Action: giveKey,
			},
			{
				Name: "withdraw", Usage: "withdraw keys for good", ArgsUsage: "ID...",
				Description: "Example:\n  cactusspar keys withdraw shops-2026",
				Action:      withdrawKeys,
			},
			{
				Name: "list", Usage: "list keys, never their secrets",
				Description: "Example:\n  cactusspar keys list --team shops",
				Flags:       []cli.Flag{teamFlag()},
				Action:      listKeys,
			},
		},
	}
}

func teamFlag() cli.Flag { return &cli.StringFlag{Name: "team", Usage: "only this `TEAM`"} }

func poolFlag() cli.Flag { return &cli.StringFlag{Name: "pool", Usage: "only this `POOL`"} }

type giveKeyResult struct {
	ID     string       `json:"id"`
	Team   string       `json:"team"`
	Key    string       `json:"key,omitempty"`
	File   string       `json:"file,omitempty"`
	Result state.Result `json:"result"`
}

func giveKey(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "TEAM")
	if err != nil {
		return err
	}
	result := giveKeyResult{ID: c.String("id"), Team: args[0], File: c.String("file")}
	if result.ID == "" {
		result.ID = newID(result.Team)
	}
	secret := operator.NewSecret()
	// The file is written before the call, because the secret of a key that was
	// given but not stored cannot be recovered.
	if result.File != "" {
		if err := writeSecret(result.File, secret); err != nil {
			return err
		}
	} else {
		result.Key = secret
	}
	result.Result, err = client.GiveKey(ctx, result.ID, result.Team, secret)
	if errors.Is(err, operator.ErrUnknownOutcome) {
		return errs.New("key %s may have been given; withdraw it before giving another one: %w", result.ID, err)
	}
	if err != nil {
		if result.File != "" {
			_ = os.Remove(result.File)
		}
		return err
	}
	return show(c, result, func(w io.Writer) error { return writeGiveKeyResult(w, result) })
}

func writeGiveKeyResult(w io.Writer, result giveKeyResult) error {
	if result.File != "" {
		_, err := fmt.Fprintf(w, "Gave key %s to team %s; it is in %s.\n", result.ID, result.Team, result.File)
		return err
	}
	_, err := fmt.Fprintf(w, "Gave key %s to team %s. It is shown only now:\n%s\n", result.ID, result.Team, result.Key)
	return err
}

// newID returns a random ID with a readable prefix.
func newID(prefix string) string {
	const randomBytes = 8
	random := strings.NewReplacer("-", "", "_", "").Replace(operator.NewSecret())
	return prefix + "-" + strings.ToLower(random[:randomBytes])
}

// writeSecret writes a secret to a new file that only its owner can read.
func writeSecret(file, secret string) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(secret + "\n")
	return errors.Join(err, f.Close())
}

func withdrawKeys(ctx context.Context, c *cli.Command) error {
	client, ids, err := connectWithArguments(c, "ID...")
	if err != nil {
		return err
	}
	for _, id := range ids {
		result, err := client.WithdrawKey(ctx, id)
		if err != nil {
			return err
		}
		if err := showResult(c, result, "Withdrew key %s.", id); err != nil {
			return err
		}
	}
	return nil
}

func listKeys(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	keys, err := client.Keys(ctx, c.String("team"))
	if err != nil {
		return err
	}
	return showTable(c, keys, []string{"ID", "TEAM", "GIVEN", "BY", "WITHDRAWN", "BY"}, func(t *table, k state.Key) {
		t.add(k.ID, k.Team, k.GivenAt, k.GivenBy, k.WithdrawnAt, k.WithdrawnBy)
	})
}
