package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
)

func explainWorkspace(ctx context.Context, c *cli.Command, client *operator.Client, name string) error {
	w, err := client.Workspace(ctx, name)
	if err != nil {
		return err
	}
	return show(c, w, func(out io.Writer) error {
		t := &table{}
		t.add("workspace", w.Name)
		t.add("weight", w.Weight)
		t.add("limit", fmt.Sprintf("%g processors, %d MB", float64(w.Cap.MilliCPU)/1000, w.Cap.MemoryMB))
		t.add("running", fmt.Sprintf("%g processors, %d MB", float64(w.Running.MilliCPU)/1000, w.Running.MemoryMB))
		for _, p := range w.Pools {
			t.add("pool", p.Pool, fmt.Sprintf("%d jobs, %d not started", p.Jobs, p.Pending))
			for _, reason := range slices.Sorted(maps.Keys(p.Waiting)) {
				t.add("waits", p.Pool, fmt.Sprintf("%d tasks: %s", p.Waiting[reason], waitReasonText(reason)))
			}
		}
		return t.write(out)
	})
}
