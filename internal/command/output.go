package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

const (
	flagOutput = "output"
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagOutput, Aliases: []string{"o"}, Value: outputText,
		Usage: "`FORMAT` of the output: text or json", Sources: cli.EnvVars("CACTUSSPAR_OUTPUT"),
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return errs.New("expected text or json, found %q", s)
			}
			return nil
		},
	}
}

// table is the text form of a list.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.rows = append(t.rows, row)
}

// cell formats a value. An empty value is shown as "-", so that scripts can rely on
// the number of columns.
func cell(v any) string {
	var s string
	switch x := v.(type) {
	case time.Time:
		if !x.IsZero() {
			s = x.UTC().Format(time.RFC3339)
		}
	case []string:
		s = strings.Join(x, ",")
	default:
		s = fmt.Sprint(v)
	}
	if s == "" {
		return "-"
	}
	return s
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		_, _ = fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	}
	for _, r := range t.rows {
		_, _ = fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	return tw.Flush()
}

// show writes a value as JSON, or calls text to write its text form.
func show(c *cli.Command, value any, text func(w io.Writer) error) error {
	w := c.Root().Writer
	if c.String(flagOutput) != outputJSON {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// showTable writes a list as JSON or as a table.
func showTable[T any](c *cli.Command, items []T, header []string, row func(t *table, item T)) error {
	if items == nil {
		items = []T{}
	}
	return show(c, items, func(w io.Writer) error {
		t := &table{header: header}
		for _, item := range items {
			row(t, item)
		}
		return t.write(w)
	})
}

// showList requests a list from the control replicas and writes it.
func showList[T any](c *cli.Command, call func(*operator.Client) ([]T, error), header []string, row func(t *table, item T)) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	items, err := call(client)
	if err != nil {
		return err
	}
	return showTable(c, items, header, row)
}

// showResult writes a command's result as JSON, or a confirmation in the text form.
func showResult(c *cli.Command, result state.Result, format string, args ...any) error {
	return show(c, result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, format+"\n", args...)
		return err
	})
}

func itoa(n int) string { return strconv.Itoa(n) }
