package state

import "cactusspar/internal/resources"

// Resources are what a worker has or a job asks for.
type Resources = resources.Amount
