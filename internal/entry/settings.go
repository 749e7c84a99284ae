package entry

import (
	"runtime/debug"
	"time"

	"cactusspar/internal/intake"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

// Settings holds the settings of an entry instance. They are read from a JSON
// file with comments.
type Settings struct {
	// ID names the instance. It is unique within the cluster and stays the
	// same across restarts. Required.
	ID string `json:"id"`
	// Cluster is the identity of the cluster. Peers of another cluster are
	// refused. Required.
	Cluster string `json:"cluster"`
	// DataCentre is the data centre that the instance is in, as named in the
	// rules. Endpoints of the same data centre are preferred. Required.
	DataCentre string `json:"data_centre"`
	// Region is the region that the instance is in. Required.
	Region string `json:"region"`
	// Control holds the peer addresses (IP address and port) of the control
	// replicas. They are tried in turn until the leader answers. Required.
	Control []string `json:"control"`
	// Peer is the listener for other entry instances. Required.
	Peer settings.Listener `json:"peer"`
	// PeerClient holds the TLS files for connections to control replicas and
	// other entry instances. Absent means plain text. It has to be given
	// exactly when the peer listener has TLS.
	PeerClient *settings.ClientTLS `json:"peer_client"`
	// AdvertisePeer is the address under which other entry instances reach the
	// peer listener. Default: the listener's address.
	AdvertisePeer string `json:"advertise_peer"`
	// Callers is the listener for callers' requests. Required.
	Callers settings.Listener `json:"callers"`
	// AdvertiseCallers is the address under which callers reach the instance;
	// it is only reported to the control replicas. Default: the listener's address.
	AdvertiseCallers string `json:"advertise_callers"`
	// Endpoints is the listener for announcements of endpoints. Required.
	Endpoints settings.Listener `json:"endpoints"`
	// Health is the listener for /livez, /readyz and /metrics. Required.
	Health settings.Listener `json:"health"`
	// MaxConnections limits the open connections of callers, and separately
	// those of endpoints. A further connection replaces the one that has waited
	// longest for its client. It is lowered where the process may open too few
	// descriptors. Default: 8192.
	MaxConnections int `json:"max_connections"`
	// MaxRequests limits the callers' requests in progress whose body has arrived.
	// Further requests are refused with outcome not-run. Default: 4096.
	MaxRequests int `json:"max_requests"`
	// BodyMemoryBytes limits what the bodies of all requests hold in memory. When it
	// is used up, the body that has made no progress for the longest time is refused
	// with outcome not-run, or unknown if a part was sent. Default: 16777216 (16 MiB).
	BodyMemoryBytes int64 `json:"body_memory_bytes"`
	// MemoryMB is the memory that the process may use, in MB; 0 means that it isn't limited. Near
	// it, garbage is collected more often. Default: 0.
	MemoryMB int `json:"memory_mb"`
	// MaxBodyBytes limits the size of a request body, in bytes. A larger one is
	// refused with status 413. Default: 67108864 (64 MiB).
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// StopDelay is the time on a planned stop between reporting not ready and
	// refusing new requests. It should cover two probes of the load balancer.
	// Default: "1s".
	StopDelay settings.Duration `json:"stop_delay"`
	// LogFormat is "text" or "json". Default: "text".
	LogFormat telemetry.LogFormat `json:"log_format"`
	// LogDetail is 0 for information and errors, 1 to add details. Default: 0.
	LogDetail int `json:"log_detail"`
}

const (
	maxNameBytes      = 128
	maxStopDelay      = time.Minute
	maxSettingCount   = 1 << 20
	maxBodyBytesLimit = 1 << 30
	minMemoryMB       = 32
	maxMemoryMB       = 1 << 20
	minBodyMemory     = 1 << 20
	maxBodyMemory     = 1 << 36
)

// heapFraction is the part of MemoryMB that the Go runtime may use. The rest is for what it
// doesn't count, such as the program and kernel buffers.
const heapFraction = 0.75

// LimitMemory sets the memory limit of the Go runtime. It belongs to a process, not to an Entry.
func (s *Settings) LimitMemory() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapFraction))
	}
}

// DefaultSettings returns settings with the defaults filled in.
func DefaultSettings() Settings {
	return Settings{
		MaxConnections: 8192, MaxRequests: 4096, MaxBodyBytes: 64 << 20,
		BodyMemoryBytes: intake.DefaultBodyBytes,
		StopDelay:       settings.Duration(time.Second), LogFormat: telemetry.LogText,
	}
}

// Check adds a finding to c for each value that is missing or out of range.
func (s *Settings) Check(c *settings.Checks) {
	for _, f := range []struct{ name, value string }{
		{"id", s.ID}, {"cluster", s.Cluster}, {"data_centre", s.DataCentre}, {"region", s.Region},
	} {
		c.Require(f.name, f.value != "")
		if len(f.value) > maxNameBytes {
			c.Add(f.name, "%d bytes, expected at most %d", len(f.value), maxNameBytes)
		}
	}
	c.Require("control", len(s.Control) > 0)
	for _, a := range s.Control {
		s.checkAddress(c, "control", a)
	}
	s.checkAddress(c, "advertise_peer", s.AdvertisePeer)
	s.checkAddress(c, "advertise_callers", s.AdvertiseCallers)
	if (s.Peer.TLS == nil) != (s.PeerClient == nil) {
		c.Add("peer_client", "expected exactly when the peer listener has \"tls\"")
	}
	if s.Peer.TLS != nil && (len(s.Peer.TLS.ClientCA) == 0 || s.Peer.TLS.ClientOptional) {
		c.Add("peer.tls", "the cluster's processes use mutual TLS: expected \"client_ca\" without \"client_optional\"")
	}
	if s.MaxConnections < 1 || s.MaxConnections > maxSettingCount {
		c.Add("max_connections", "%d, expected 1 to %d", s.MaxConnections, maxSettingCount)
	}
	if s.MaxRequests < 1 || s.MaxRequests > maxSettingCount {
		c.Add("max_requests", "%d, expected 1 to %d", s.MaxRequests, maxSettingCount)
	}
	if s.BodyMemoryBytes < minBodyMemory || s.BodyMemoryBytes > maxBodyMemory {
		c.Add("body_memory_bytes", "%d, expected %d to %d", s.BodyMemoryBytes, minBodyMemory, int64(maxBodyMemory))
	}
	if s.MemoryMB != 0 && (s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB) {
		c.Add("memory_mb", "%d, expected 0 or %d to %d", s.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > maxBodyBytesLimit {
		c.Add("max_body_bytes", "%d, expected 0 to %d", s.MaxBodyBytes, maxBodyBytesLimit)
	}
	if d := s.StopDelay.Std(); d < 0 || d > maxStopDelay {
		c.Add("stop_delay", "%s, expected 0s to %s", s.StopDelay, maxStopDelay)
	}
}

func (s *Settings) checkAddress(c *settings.Checks, field, address string) {
	if address == "" {
		return
	}
	if _, err := settings.ParseAddress(address); err != nil {
		c.Add(field, "%v", err)
	}
}
