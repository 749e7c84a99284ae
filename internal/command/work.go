package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/settings"
	"cactusspar/internal/workload"
)

func workCommand() *cli.Command {
	queueFlag := &cli.StringFlag{Name: "queue", Usage: "only this `QUEUE`"}
	return &cli.Command{
		Name:  "work",
		Usage: "submit, cancel and show jobs of queues",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job to a queue",
				Description: `The job is described by a file with JSON and comments; times are in seconds:
  {"id": "5c0e7a21d94b36f8", "queue": "quotes", "team": "shops", "spec": "...",
    "steps": [{"count": 4, "need": {"milli_cpu": 500, "memory_mb": 256}, "estimate_seconds": 0.9},
              {"count": 20, "need": {"milli_cpu": 2000}, "after": [0], "checkpointable": true}]}

Example:
  cactusspar work submit --file job.json`,
				Flags:  []cli.Flag{&cli.StringFlag{Name: "file", Usage: "`FILE` with the job", Required: true}},
				Action: submitWork,
			},
			{
				Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID",
				Description: "Example:\n  cactusspar work cancel 5c0e7a21d94b36f8",
				Action:      cancelWork,
			},
			{
				Name: "list", Usage: "list jobs",
				Description: "Example:\n  cactusspar work list --queue quotes --status active",
				Flags: []cli.Flag{
					teamFlag(), queueFlag,
					&cli.StringFlag{Name: "status", Usage: "only this `STATUS`: queued, active, completed, failed or cancelled"},
				},
				Action: listWork,
			},
			{
				Name: "show", Usage: "show one job with its steps, runs and what its tasks wait for", ArgsUsage: "ID",
				Description: "Example:\n  cactusspar work show 5c0e7a21d94b36f8",
				Action:      showWork,
			},
			{
				Name: "queues", Usage: "list queues with the jobs that wait",
				Description: "Example:\n  cactusspar work queues",
				Action:      listQueues,
			},
		},
	}
}

func workersCommand() *cli.Command {
	return &cli.Command{
		Name: "workers", Usage: "list the workers that run jobs of queues",
		Description: "Example:\n  cactusspar workers --pool quotes",
		Flags:       []cli.Flag{poolFlag()},
		Action:      listWorkers,
	}
}

func submitWork(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	var request operator.WorkRequest
	if err := settings.Load(c.String("file"), &request); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	result, err := client.SubmitWork(ctx, request)
	if err != nil {
		return err
	}
	return showResult(c, result, "Submitted job %s.", request.ID)
}

func cancelWork(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "ID")
	if err != nil {
		return err
	}
	result, err := client.CancelWork(ctx, args[0])
	if err != nil {
		return err
	}
	return showResult(c, result, "Cancelled job %s.", args[0])
}

func listWork(ctx context.Context, c *cli.Command) error {
	call := func(client *operator.Client) ([]operator.Work, error) {
		return client.ListWork(ctx, c.String("team"), c.String("queue"), workload.Status(c.String("status")))
	}
	return showList(c, call, []string{"ID", "QUEUE", "TEAM", "STATUS", "ACCEPTED", "ENDED"}, func(t *table, w operator.Work) {
		t.add(w.ID, w.Queue, w.Team, w.Status, w.Accepted, endTime(&w))
	})
}

func endTime(w *operator.Work) time.Time { return timeOrZero(w.EndedAt) }

func timeOrZero(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}

func showWork(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "ID")
	if err != nil {
		return err
	}
	return explainWork(ctx, c, client, args[0])
}

func explainWork(ctx context.Context, c *cli.Command, client *operator.Client, id string) error {
	w, err := client.Work(ctx, id)
	if err != nil {
		return err
	}
	return show(c, w, func(out io.Writer) error {
		t := &table{}
		t.add("job", w.ID)
		t.add("queue", w.Queue)
		t.add("team", w.Team)
		t.add("status", w.Status)
		t.add("accepted", w.Accepted)
		t.add("ended", endTime(&w))
		if w.CrashedTask != "" {
			t.add("given up", w.CrashedTask, "crashed "+strings.Join(w.CrashedWorkers, ", "))
		}
		for _, s := range w.Steps {
			t.add("step", fmt.Sprintf("%d.%d", s.Occurrence, s.Step), fmt.Sprintf("%d tasks, %d done, %d waiting", s.Tasks, s.Done, s.Waiting))
			for _, r := range s.Runs {
				t.add("run", fmt.Sprintf("%d.%d.%d", s.Occurrence, s.Step, r.Task), fmt.Sprintf("run %d on %s since %s", r.Run, r.Worker, cell(r.Since)))
			}
		}
		for _, wait := range w.Waits {
			t.add("waits", fmt.Sprintf("%d.%d", wait.Occurrence, wait.Step), fmt.Sprintf("%d tasks: %s", wait.Tasks, waitReasonText(wait.Reason)))
		}
		return t.write(out)
	})
}

// waitReasonText describes the reason why tasks wait.
func waitReasonText(r scheduling.WaitReason) string {
	texts := map[scheduling.WaitReason]string{
		scheduling.WaitsForQueue:      "the queue was removed",
		scheduling.WaitsForSteps:      "earlier steps are not done",
		scheduling.WaitsForTeam:       "the team runs as much as it may",
		scheduling.WaitsForWorkers:    "the pool has no worker that takes tasks",
		scheduling.WaitsForEvacuation: "the workers of the pool are in data centres that are evacuated",
		scheduling.WaitsForLabel:      "no worker of the pool has the label",
		scheduling.WaitsForSize:       "no worker of the pool is large enough",
		scheduling.WaitsForSpread:     "every worker with room has as many tasks of the step as allowed",
		scheduling.WaitsForRoom:       "the workers of the pool are in use",
		scheduling.WaitsForAdvice:     "the queue's policy service decides where they run",
		scheduling.WaitsForTrial:      "a task of it may have crashed its worker, and starts on a worker without other jobs",
		scheduling.WaitsForPlacement:  "the next placement starts them, unless other jobs come first",
	}
	if text := texts[r]; text != "" {
		return text
	}
	return string(r)
}

func listQueues(ctx context.Context, c *cli.Command) error {
	call := func(client *operator.Client) ([]operator.WorkQueue, error) { return client.WorkQueues(ctx) }
	return showList(c, call, []string{"NAME", "HOST", "PREFIX", "POOL", "PRIORITY", "PENDING", "OPEN"}, func(t *table, q operator.WorkQueue) {
		t.add(q.Name, q.Host, q.Prefix, q.Pool, q.Priority, q.Pending, q.Open)
	})
}

func listWorkers(ctx context.Context, c *cli.Command) error {
	call := func(client *operator.Client) ([]operator.Worker, error) { return client.Workers(ctx, c.String("pool")) }
	header := []string{"ID", "POOL", "ADDRESS", "LABELS", "CPU", "MEMORY-MB", "RUNS", "DRAINING", "SINCE"}
	return showList(c, call, header, func(t *table, w operator.Worker) {
		t.add(w.ID, w.Pool, w.Address, w.Labels, float64(w.Capacity.MilliCPU)/1000, w.Capacity.MemoryMB, w.Runs, w.Draining, w.Since)
	})
}

func explainWorker(ctx context.Context, c *cli.Command, client *operator.Client, id string) error {
	w, err := client.Worker(ctx, id)
	if err != nil {
		return err
	}
	return show(c, w, func(out io.Writer) error {
		t := &table{}
		t.add("worker", w.ID)
		t.add("pool", w.Pool)
		t.add("address", w.Address)
		t.add("labels", w.Labels)
		t.add("processors", float64(w.Capacity.MilliCPU)/1000)
		t.add("memory MB", w.Capacity.MemoryMB)
		t.add("runs", w.Runs)
		t.add("draining", w.Draining)
		t.add("since", w.Since)
		return t.write(out)
	})
}
