package command

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
	"cactusspar/internal/state"
)

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "submit, cancel and list jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit jobs",
				Description: `One job is described by flags, several by a file with JSON and comments:
  {"jobs": [{"id": "j-1", "team": "shops", "pool": "quotes", "kind": "batch",
    "declared": {"milli_cpu": 2000, "memory_mb": 4096}, "run_seconds": 90}]}

Examples:
  cactusspar jobs submit --team shops --pool quotes --cpu 2000 --memory-mb 4096
  cactusspar jobs submit --file jobs.json`,
				Flags:  submitFlags(),
				Action: submitJobs,
			},
			{
				Name: "cancel", Usage: "cancel jobs", ArgsUsage: "ID...",
				Description: "Example:\n  cactusspar jobs cancel job-k3x8",
				Action:      cancelJobs,
			},
			{
				Name: "list", Usage: "list jobs",
				Description: "Example:\n  cactusspar jobs list --team shops --status waiting",
				Flags: []cli.Flag{
					teamFlag(), poolFlag(),
					&cli.StringFlag{Name: "status", Usage: "only this `STATUS`: waiting, running, done, failed, cancelled or refused"},
				},
				Action: listJobs,
			},
			{
				Name: "show", Usage: "show one job with its tasks", ArgsUsage: "ID",
				Description: "Example:\n  cactusspar jobs show job-k3x8",
				Action:      showJob,
			},
		},
	}
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "`FILE` with the jobs"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the job; by default a random one"},
		&cli.StringFlag{Name: "team", Usage: "`TEAM` that the job belongs to"},
		&cli.StringFlag{Name: "pool", Usage: "`POOL` that the job runs on"},
		&cli.StringFlag{Name: "kind", Usage: "`KIND`: batch, urgent or workspace", Value: string(state.Batch)},
		&cli.IntFlag{Name: "priority", Usage: "`PRIORITY` among jobs of the team"},
		&cli.Int64Flag{Name: "cpu", Usage: "declared processors in thousandths"},
		&cli.Int64Flag{Name: "memory-mb", Usage: "declared memory in MB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "declared accelerators"},
		&cli.DurationFlag{Name: "run", Usage: "declared run time; 0 if it is not known"},
	}
}

// jobsFile is the content of the file for jobs submit.
type jobsFile struct {
	Jobs []operator.JobRequest `json:"jobs"`
}

func submitJobs(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	jobs, err := jobsToSubmit(c)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	result, err := client.SubmitJobs(ctx, jobs)
	if err != nil {
		return err
	}
	if len(jobs) == 1 {
		return showResult(c, result, "Submitted job %s.", jobs[0].ID)
	}
	return showResult(c, result, "Submitted %d jobs.", len(jobs))
}

func jobsToSubmit(c *cli.Command) ([]operator.JobRequest, error) {
	if file := c.String("file"); file != "" {
		var f jobsFile
		if err := settings.Load(file, &f); err != nil {
			return nil, err
		}
		if len(f.Jobs) == 0 {
			return nil, newUsageError("%s holds no jobs", file)
		}
		return f.Jobs, nil
	}
	if c.String("team") == "" || c.String("pool") == "" {
		return nil, newUsageError("--team and --pool are needed without --file")
	}
	job := operator.JobRequest{
		ID: c.String("id"), Team: c.String("team"), Pool: c.String("pool"),
		Kind: state.JobKind(c.String("kind")), Priority: c.Int("priority"),
		Declared: state.Resources{
			MilliCPU: c.Int64("cpu"), MemoryMB: c.Int64("memory-mb"), Accelerators: c.Int64("accelerators"),
		},
		RunSeconds: c.Duration("run").Seconds(),
	}
	if job.ID == "" {
		job.ID = newID("job")
	}
	return []operator.JobRequest{job}, nil
}

func cancelJobs(ctx context.Context, c *cli.Command) error {
	client, ids, err := connectWithArguments(c, "ID...")
	if err != nil {
		return err
	}
	result, err := client.CancelJobs(ctx, ids)
	if err != nil {
		return err
	}
	return showResult(c, result, "Cancelled %d jobs.", len(ids))
}

func listJobs(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	jobs, err := client.Jobs(ctx, c.String("team"), c.String("pool"), state.JobStatus(c.String("status")))
	if err != nil {
		return err
	}
	header := []string{"ID", "TEAM", "POOL", "KIND", "PRIORITY", "STATUS", "SUBMITTED", "REASON"}
	return showTable(c, jobs, header, func(t *table, j operator.Job) {
		t.add(j.ID, j.Team, j.Pool, j.Kind, j.Priority, j.Status, j.SubmittedAt, j.Reason)
	})
}

func showJob(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "ID")
	if err != nil {
		return err
	}
	j, err := client.Job(ctx, args[0])
	if err != nil {
		return err
	}
	return show(c, j, func(w io.Writer) error {
		t := &table{}
		t.add("job", j.ID)
		t.add("team", j.Team)
		t.add("pool", j.Pool)
		t.add("kind", j.Kind)
		t.add("priority", j.Priority)
		t.add("status", j.Status)
		t.add("reason", j.Reason)
		t.add("submitted", j.SubmittedAt)
		t.add("declared processors", float64(j.Declared.MilliCPU)/1000)
		t.add("declared memory MB", j.Declared.MemoryMB)
		t.add("declared accelerators", j.Declared.Accelerators)
		t.add("declared run time", j.DeclaredRun.Round(time.Second))
		for _, task := range j.Tasks {
			t.add("task", task.ID, task.Instance, task.Status)
		}
		return t.write(w)
	})
}
