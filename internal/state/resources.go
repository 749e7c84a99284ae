package state

import "cactusspar/internal/resources"

// Resources is the amount of resources that a worker has or a job requests.
type Resources = resources.Amount
