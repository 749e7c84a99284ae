// Package command implements the command line of cactusspar-standin.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/demo"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/standin"
	"cactusspar/internal/telemetry"
)

// New returns the root command, which writes its output to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "cactusspar-standin",
		Usage: "stand-ins for endpoints, callers and load, for demos, tests and measurements",
		Commands: []*cli.Command{
			endpointsCommand(out),
			loadCommand(out),
			checkCommand(out),
			demoCommand(out),
		},
	}
}

// errViolations is returned when a check finds violated guarantees.
var errViolations = errors.New("the check found violations")

func endpointsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "run endpoints of pools until interrupted, with a platform that reboots them if asked for",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pool", Required: true, Usage: "`NAME:COUNT` of a pool and its endpoints"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry instance's endpoint listener"},
			&cli.StringSliceFlag{Name: "data-centre", Value: []string{"dc-1"}, Usage: "data centres to spread the endpoints over"},
			&cli.StringFlag{Name: "prefix", Usage: "what the names of the endpoints begin with"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "slots of an endpoint"},
			&cli.IntFlag{Name: "connections", Value: 64, Usage: "connections of an endpoint"},
			&cli.IntFlag{Name: "rack-size", Value: 4, Usage: "endpoints in a rack"},
			&cli.StringFlag{Name: "run-log", Usage: "`FILE` for the record of what the endpoints ran"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults"},
			&cli.StringFlag{Name: "faults", Usage: "rates as kind=probability, comma-separated: refuse, fail, reset, short, twice, hang, late"},
			&cli.Int64Flag{Name: "milli-cpu", Value: 16000, Usage: "processor capacity in thousandths of a core"},
			&cli.Int64Flag{Name: "memory-mb", Value: 65536, Usage: "memory in MB"},
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` to serve the platform on"},
			&cli.DurationFlag{Name: "reboot-time", Value: time.Second, Usage: "time that a reboot takes"},
			&cli.StringSliceFlag{Name: "never-returns", Usage: "`ENDPOINT` whose first reboot does not end"},
			&cli.FloatFlag{Name: "lost-answers", Usage: "probability that the platform's answer is lost"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runEndpoints(ctx, c, out) },
	}
}

func runEndpoints(ctx context.Context, c *cli.Command, out io.Writer) error {
	cfg, err := fleetConfig(c)
	if err != nil {
		return err
	}
	f := standin.NewFleet(cfg)
	for _, id := range c.StringSlice("never-returns") {
		f.Platform().NeverReturns(id)
	}
	server := &http.Server{Addr: c.String("platform"), Handler: f.Platform(), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 1)
	if server.Addr != "" {
		go func() { failed <- server.ListenAndServe() }()
	}
	if err := f.Start(c.StringSlice("entry")); err != nil {
		return errors.Join(err, f.Kill())
	}
	_, _ = fmt.Fprintf(out, "%d endpoints announced\n", len(f.Names()))
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	return errors.Join(err, f.Stop(), server.Close(), cfg.Template.Runs.Close())
}

func fleetConfig(c *cli.Command) (standin.FleetConfig, error) {
	cfg := standin.FleetConfig{
		Pools: map[string]int{}, DataCentres: c.StringSlice("data-centre"), RackSize: c.Int("rack-size"), Prefix: c.String("prefix"),
		Platform: standin.PlatformConfig{RebootTime: c.Duration("reboot-time"), LostAnswers: c.Float("lost-answers"), Seed: c.Uint64("seed")},
	}
	for _, s := range c.StringSlice("pool") {
		name, number, _ := strings.Cut(s, ":")
		count, err := strconv.Atoi(number)
		if err != nil || count < 1 || name == "" {
			return cfg, errs.New("pool %q: expected NAME:COUNT", s)
		}
		cfg.Pools[name] = count
	}
	rates, err := parseFaults(c.String("faults"))
	if err != nil {
		return cfg, err
	}
	runs, err := standin.NewRunLog(c.String("run-log"))
	if err != nil {
		return cfg, err
	}
	cfg.Template = standin.EndpointConfig{
		Announcement: dispatch.Announcement{Slots: c.Int("slots"), MilliCPU: c.Int64("milli-cpu"), MemoryMB: c.Int64("memory-mb")},
		Listen:       "127.0.0.1:0", Connections: c.Int("connections"), Faults: standin.NewFaults(c.Uint64("seed"), rates), Runs: runs,
	}
	return cfg, nil
}

func parseFaults(s string) (standin.FaultRates, error) {
	var rates standin.FaultRates
	names := map[string]standin.Fault{
		"refuse": standin.FaultRefuse, "fail": standin.FaultFail, "reset": standin.FaultReset, "short": standin.FaultTruncated,
		"twice": standin.FaultDuplicate, "hang": standin.FaultHang, "late": standin.FaultLate,
	}
	for _, part := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		name, value, _ := strings.Cut(part, "=")
		kind, ok := names[name]
		var p float64
		if _, err := fmt.Sscanf(value, "%g", &p); err != nil || !ok || p < 0 || p > 1 {
			return rates, errs.New("fault %q: expected kind=probability with a known kind and 0 to 1", part)
		}
		rates[kind] = p
	}
	return rates, nil
}

func loadCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load and report what callers saw",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry instance's caller listener"},
			&cli.StringSliceFlag{Name: "queue", Required: true, Usage: "`NAME:RATE:WORK:SIZE` with requests per second, mean duration and response bytes"},
			&cli.StringSliceFlag{Name: "team", Usage: "`NAME:KEYFILE[:WEIGHT]` with the file that holds the key"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time of arrivals"},
			&cli.DurationFlag{Name: "deadline", Value: 5 * time.Second, Usage: "time that a caller allows"},
			&cli.FloatFlag{Name: "peak", Usage: "factor on the mean while a queue has its turn; 0 for steady load"},
			&cli.DurationFlag{Name: "turn", Value: 3 * time.Second, Usage: "duration of a turn"},
			&cli.FloatFlag{Name: "between", Value: 0.05, Usage: "factor on the mean outside of a turn"},
			&cli.FloatFlag{Name: "non-idempotent", Value: 0.5, Usage: "part of requests that are not idempotent"},
			&cli.BoolFlag{Name: "resend", Usage: "resend requests with unknown outcome through another entry instance"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "call-log", Usage: "`FILE` for a line for each request"},
			&cli.BoolFlag{Name: "direct", Usage: "the given URLs are endpoints, called without the system"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runLoad(ctx, c, out) },
	}
}

func runLoad(ctx context.Context, c *cli.Command, out io.Writer) error {
	cfg := standin.LoadConfig{
		Entries: c.StringSlice("entry"), Duration: c.Duration("duration"), Deadline: c.Duration("deadline"),
		Pattern:       standin.Pattern{Peak: c.Float("peak"), Turn: c.Duration("turn"), Between: c.Float("between")},
		NonIdempotent: c.Float("non-idempotent"), Resend: c.Bool("resend"), Seed: c.Uint64("seed"),
		CallLog: c.String("call-log"), Direct: c.Bool("direct"),
	}
	for _, s := range c.StringSlice("queue") {
		q, err := parseQueue(s)
		if err != nil {
			return err
		}
		cfg.Queues = append(cfg.Queues, q)
	}
	for _, s := range c.StringSlice("team") {
		t, err := parseTeam(s)
		if err != nil {
			return err
		}
		cfg.Teams = append(cfg.Teams, t)
	}
	report, err := standin.Load(ctx, cfg)
	if err != nil {
		return err
	}
	report.Write(out)
	return nil
}

func parseQueue(s string) (standin.QueueDemand, error) {
	q := standin.QueueDemand{}
	parts := strings.Split(s, ":")
	errFormat := errs.New("queue %q: expected NAME:RATE:WORK:SIZE, for example quotes:50:20ms:1000", s)
	if len(parts) != 4 {
		return q, errFormat
	}
	q.Queue = parts[0]
	if _, err := fmt.Sscanf(parts[1], "%g", &q.Rate); err != nil || q.Rate < 0 {
		return q, errFormat
	}
	work, err := time.ParseDuration(parts[2])
	if err != nil {
		return q, errFormat
	}
	q.Work = work
	if _, err := fmt.Sscanf(parts[3], "%d", &q.Size); err != nil || q.Size < 0 {
		return q, errFormat
	}
	return q, nil
}

func parseTeam(s string) (standin.TeamKey, error) {
	parts := strings.Split(s, ":")
	if len(parts) < 2 {
		return standin.TeamKey{}, errs.New("team %q: expected NAME:KEYFILE[:WEIGHT]", s)
	}
	key, err := os.ReadFile(parts[1])
	if err != nil {
		return standin.TeamKey{}, errs.New("team %s: %w", parts[0], err)
	}
	t := standin.TeamKey{Team: parts[0], Key: strings.TrimSpace(string(key)), Weight: 1}
	if len(parts) > 2 {
		if _, err := fmt.Sscanf(parts[2], "%d", &t.Weight); err != nil || t.Weight < 1 {
			return t, errs.New("team %q: weight %q is not a positive number", s, parts[2])
		}
	}
	return t, nil
}

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in this process, show what it does, and stop it",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "logs", Usage: "write the logs of all parts to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := logr.Discard()
			if c.Bool("logs") {
				var err error
				if log, err = telemetry.NewLogger(os.Stderr, telemetry.LogText, 0); err != nil {
					return err
				}
			}
			return demo.Run(ctx, out, log)
		},
	}
}

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "compare what callers were told with what endpoints ran",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "call-log", Required: true, Usage: "call log `PATTERN` of a load run"},
			&cli.StringSliceFlag{Name: "run-log", Required: true, Usage: "run log `PATTERN` of endpoints"},
			&cli.StringSliceFlag{Name: "limit", Usage: "`TEAM=LIMIT` that the team must not exceed"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return runCheck(c, out) },
	}
}

func runCheck(c *cli.Command, out io.Writer) error {
	cfg := standin.CheckConfig{Limits: map[string]int{}}
	var err error
	if cfg.CallLogs, err = expandPatterns(c.StringSlice("call-log")); err != nil {
		return err
	}
	if cfg.RunLogs, err = expandPatterns(c.StringSlice("run-log")); err != nil {
		return err
	}
	for _, s := range c.StringSlice("limit") {
		team, value, _ := strings.Cut(s, "=")
		limit := 0
		if _, err := fmt.Sscanf(value, "%d", &limit); err != nil {
			return errs.New("limit %q: expected TEAM=LIMIT", s)
		}
		cfg.Limits[team] = limit
	}
	result, err := standin.Check(cfg)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}

// expandPatterns returns the files that match the glob patterns. A pattern without
// a match is an error.
func expandPatterns(patterns []string) ([]string, error) {
	var paths []string
	for _, p := range patterns {
		found, err := filepath.Glob(p)
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, errs.New("no file matches %q", p)
		}
		paths = append(paths, found...)
	}
	return paths, nil
}
