package workload

import (
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

var (
	hostileStrings = []string{"j", "j", "j", "k", "a", "a", "b", "q", "p", ""}
	hostileNumbers = []int64{0, 0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 3, -1 << 62, -1, 1 << 40, 1<<63 - 1}
	outcomes       = []Outcome{Succeeded, RunFailed, Stopped, LeaseExpired}
)

// fill sets all exported fields below v to arbitrary values, of which many name what exists.
func fill(random *rand.Rand, v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.String:
		if v.Type() == reflect.TypeFor[Outcome]() {
			v.SetString(string(outcomes[random.Intn(len(outcomes))]))
			return
		}
		v.SetString(hostileStrings[random.Intn(len(hostileStrings))])
	case reflect.Int, reflect.Int64:
		v.SetInt(hostileNumbers[random.Intn(len(hostileNumbers))])
	case reflect.Uint64:
		v.SetUint(uint64(hostileNumbers[random.Intn(len(hostileNumbers))]))
	case reflect.Bool:
		v.SetBool(random.Intn(2) == 0)
	case reflect.Float64:
		v.SetFloat(random.NormFloat64())
	case reflect.Pointer:
		if depth > 0 && random.Intn(3) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(random, v.Elem(), depth-1)
		}
	case reflect.Slice:
		if depth > 0 && random.Intn(3) == 0 {
			v.Set(reflect.MakeSlice(v.Type(), random.Intn(3), 3))
			for i := range v.Len() {
				fill(random, v.Index(i), depth-1)
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(random, v.Field(i), depth)
			}
		}
	}
}

// A command that makes the state machine panic would end each replica that applies it, and
// again when it is read from the log. No value of a command may do that, nor leave a state
// that can't be read back.
func TestNoCommandEndsAReplica(t *testing.T) {
	for seed := range int64(3000) {
		random := rand.New(rand.NewSource(seed))
		s := fixture()
		if random.Intn(4) == 0 {
			s = NewState() // without a topology
		}
		submit(s, Step{Count: 2, Gang: seed%2 == 0}, Step{Count: 2, LongRunning: true}, Step{Count: 1, Speculative: true})
		for i := range 2 {
			for p := range 3 {
				if s.Workers["a"] != nil {
					begin(s, task(p, i), 1, "a")
				}
			}
		}
		for range 8 {
			var c Command
			fill(random, reflect.ValueOf(&c).Elem(), 4)
			if random.Intn(4) > 0 {
				c.Cancel, c.RemovedJobs, c.RemovedWorkers, c.Topology = nil, nil, nil, nil // keep what the others refer to
			}
			for i := range c.Submit {
				if c.Submit[i].Check() != nil { // submissions are checked before they are proposed
					c.Submit[i].Steps = []Step{{Count: 2}, {Count: 1, Gang: true, DependsOn: []int{0}}}
				}
			}
			require.NotPanics(t, func() { s.Apply(&c, time.Unix(random.Int63n(1<<30), 0)) }, "seed %d: %+v", seed, c)
		}
		data, err := msgpack.Marshal(s)
		require.NoError(t, err)
		restored := NewState()
		require.NoError(t, msgpack.Unmarshal(data, restored))
		require.NotPanics(t, restored.BuildIndex, "seed %d", seed)
	}
}
