package operator

import (
	"slices"

	"cactusspar/internal/state"
)

// Limits of a request to start a wave.
const (
	maxWavePools     = 2_000
	maxWaveInstances = 10_000
)

func wavesOf(st *state.State) map[string]*state.Wave { return st.Waves }

func cloneWave(_ *state.State, w *state.Wave) state.Wave {
	wave := *w
	wave.Pools = slices.Clone(w.Pools)
	wave.Todo = slices.Clone(w.Todo)
	wave.Done = slices.Clone(w.Done)
	return wave
}

func (s *server) listWaves(c *call) (any, error) {
	status := c.filter("status")
	return listPage(s, c, wavesOf, func(w *state.Wave) bool { return status(string(w.Status)) }, cloneWave)
}

func (s *server) getWave(c *call) (any, error) {
	return getItem(s, c, "wave", wavesOf, cloneWave)
}

func (s *server) startWave(c *call) (any, error) {
	var request WaveRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if err := checkID("id", request.ID); err != nil {
		return nil, err
	}
	if len(request.Pools) > maxWavePools {
		return nil, badRequest("pools: at most %d", maxWavePools)
	}
	if len(request.Instances) > maxWaveInstances {
		return nil, badRequest("instances: at most %d", maxWaveInstances)
	}
	return s.propose(c, request.Session, state.Command{StartWave: &state.StartWave{
		ID:        request.ID,
		Pools:     request.Pools,
		Instances: request.Instances,
		By:        c.operator,
	}})
}

func (s *server) controlWave(c *call) (any, error) {
	var request ControlWaveRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if len(request.Reason) > maxTextFieldBytes {
		return nil, badRequest("reason: at most %d bytes", maxTextFieldBytes)
	}
	status, known := map[WaveAction]state.WaveStatus{
		PauseWave:  state.WavePaused,
		ResumeWave: state.WaveRunning,
		StopWave:   state.WaveStopped,
	}[WaveAction(c.params.ByName("action"))]
	if !known {
		return nil, newProblem(CodeNoSuchCall, "expected pause, resume or stop")
	}
	return s.propose(c, request.Session, state.Command{ControlWave: &state.ControlWave{
		ID:     c.params.ByName("id"),
		Status: status,
		Reason: request.Reason,
		By:     c.operator,
	}})
}
