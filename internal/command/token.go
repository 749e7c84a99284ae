package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
)

func tokenCommand() *cli.Command {
	return &cli.Command{
		Name: "token", Usage: "make a token for an operator", ArgsUsage: "NAME",
		Description: `Writes a random token to a new file for the operator and prints the line for the
tokens file of the control replicas.

Example:
  cactusspar token --file asha.token asha >> operators.tokens`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "file", Usage: "new `FILE` for the token", Required: true}},
		Action: makeToken,
	}
}

func makeToken(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	secret := operator.NewSecret()
	line := operator.TokenLine(args[0], secret)
	if _, err := operator.ParseTokens("token", line); err != nil {
		return newUsageError("%q cannot name an operator", args[0])
	}
	if err := writeSecret(c.String("file"), secret); err != nil {
		return err
	}
	return show(c, map[string]string{"line": line}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, line)
		return err
	})
}
