package control

import (
	"fmt"
	"net/url"

	"cactusspar/internal/intake"
	"cactusspar/internal/maintenance"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

// Settings configures a control process. The file is JSON with comments.
type Settings struct {
	// Cluster is the identity of the cluster. Peers of another cluster are
	// refused. It is stored in the data folder and has to stay the same.
	// No default.
	Cluster string `json:"cluster"`
	// Name is this replica's name in "members", or the name under which an
	// operator adds it. It stays the same when the disk is replaced. No default.
	Name string `json:"name"`
	// DataFolder holds the replicated log and the snapshots. It is created if it
	// doesn't exist. An empty folder gets a new replica identity. No default.
	DataFolder settings.File `json:"data_folder"`
	// Peer is the listener to which other control replicas and entry instances
	// connect. Its address is the one that they dial. No default.
	Peer settings.Listener `json:"peer"`
	// PeerTLS protects connections to other replicas; absent means plain text.
	PeerTLS *settings.ClientTLS `json:"peer_tls"`
	// Operator is the listener to which operators connect over HTTP. No default.
	Operator settings.Listener `json:"operator"`
	// OperatorTokens is the file with the operators' token hashes. Absent means
	// that operators need a client certificate; see Operator.TLS.
	OperatorTokens settings.File `json:"operator_tokens"`
	// OperatorConnections limits the open connections of operators. A further
	// connection replaces the one that has waited longest for its client.
	// Default: 160.
	OperatorConnections int `json:"operator_connections"`
	// BodyMemoryBytes limits what the bodies of all operators' calls hold in memory.
	// When it is used up, the body that has made no progress for the longest time is
	// refused, and its call is not carried out. Default: 16777216 (16 MiB).
	BodyMemoryBytes int64 `json:"body_memory_bytes"`
	// Health is the listener that serves liveness (/livez), readiness (/readyz) and
	// metrics (/metrics). Absent means that they are not served.
	Health *settings.Listener `json:"health"`
	// Members are the initial replicas, this one included, the same and in the
	// same order in the settings of all of them. They bootstrap a group only if all
	// have an empty data folder. A replica that is not among them waits until an
	// operator adds it. Later changes are made by operators, not here.
	Members []MemberSettings `json:"members"`
	// SnapshotEntries is the number of log entries after which a snapshot is
	// taken. A higher number makes restarts slower and the log larger.
	// Default: 10000.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// Platform is the base URL of the platform that runs tasks and reboots
	// instances, such as "http://127.0.0.1:9000". Absent means that no jobs are
	// placed and no instances are rebooted; drains and loans go on.
	Platform string `json:"platform"`
	// ReturnLimit is the longest time from the reboot of an instance until it is
	// back. The wave that rebooted the instance stops if it takes longer.
	// Default: "10m".
	ReturnLimit settings.Duration `json:"return_limit"`
	// DrainLimit is the longest time that the drain of an instance for a wave may
	// take. The wave stops if it takes longer. Default: "5m".
	DrainLimit settings.Duration `json:"drain_limit"`
	// LogFormat is "text" or "json". Default: "text".
	LogFormat telemetry.LogFormat `json:"log_format"`
	// LogVerbosity is 0 for information and errors, and 1 for details as well.
	// Default: 0.
	LogVerbosity int `json:"log_verbosity"`
}

// MemberSettings names an initial replica.
type MemberSettings struct {
	// Name is the replica's name. No default.
	Name string `json:"name"`
	// Peer is the IP address and port of its peer listener. No default.
	Peer string `json:"peer"`
	// Operator is the IP address and port of its operator listener, to which a
	// follower refers operators while the replica is the leader. No default.
	Operator string `json:"operator"`
}

// Bounds of the settings.
const (
	maxMembers          = 9
	minSnapshotEntries  = 10
	maxSnapshotEntries  = 1_000_000
	defaultLogVerbosity = 0

	defaultOperatorConnections = 160
	maxOperatorConnections     = 1 << 16
	minBodyMemory              = 4 << 20 // has room for the largest body
	maxBodyMemory              = 1 << 36
)

// DefaultSettings returns the settings that apply where a file sets nothing else.
func DefaultSettings() Settings {
	return Settings{
		SnapshotEntries: defaultSnapshotEntries, ReturnLimit: settings.Duration(maintenance.DefaultReturnLimit), DrainLimit: settings.Duration(maintenance.DefaultDrainLimit),
		OperatorConnections: defaultOperatorConnections, BodyMemoryBytes: intake.DefaultBodyBytes,
		LogFormat: telemetry.LogText, LogVerbosity: defaultLogVerbosity,
	}
}

// Check reports missing and invalid fields, and contradictory members.
func (s *Settings) Check(c *settings.Checks) {
	c.Require("cluster", s.Cluster != "")
	c.Require("name", s.Name != "")
	c.Require("data_folder", s.DataFolder != "")
	if s.SnapshotEntries < minSnapshotEntries || s.SnapshotEntries > maxSnapshotEntries {
		c.Add("snapshot_entries", "%d, expected %d to %d", s.SnapshotEntries, minSnapshotEntries, maxSnapshotEntries)
	}
	if s.LogFormat != telemetry.LogText && s.LogFormat != telemetry.LogJSON {
		c.Add("log_format", "%q, expected \"text\" or \"json\"", s.LogFormat)
	}
	if s.Platform != "" {
		if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			c.Add("platform", "%q, expected a URL such as \"http://127.0.0.1:9000\"", s.Platform)
		}
	}
	if s.OperatorConnections < 1 || s.OperatorConnections > maxOperatorConnections {
		c.Add("operator_connections", "%d, expected 1 to %d", s.OperatorConnections, maxOperatorConnections)
	}
	if s.BodyMemoryBytes < minBodyMemory || s.BodyMemoryBytes > maxBodyMemory {
		c.Add("body_memory_bytes", "%d, expected %d to %d", s.BodyMemoryBytes, minBodyMemory, int64(maxBodyMemory))
	}
	if s.ReturnLimit <= 0 {
		c.Add("return_limit", "%s, expected more than 0s", s.ReturnLimit)
	}
	if s.DrainLimit <= 0 {
		c.Add("drain_limit", "%s, expected more than 0s", s.DrainLimit)
	}
	s.checkMembers(c)
}

func (s *Settings) checkMembers(c *settings.Checks) {
	if len(s.Members) > maxMembers {
		c.Add("members", "%d members, at most %d are allowed", len(s.Members), maxMembers)
	}
	names, peers := map[string]bool{}, map[string]bool{}
	for i, m := range s.Members {
		field := fmt.Sprintf("members.%d", i)
		if names[m.Name] {
			c.Add(field+".name", "the name %q is used twice", m.Name)
		}
		if peers[m.Peer] {
			c.Add(field+".peer", "the address %s is used twice", m.Peer)
		}
		names[m.Name], peers[m.Peer] = true, true
		if m.Name == s.Name && m.Peer != s.Peer.Address {
			c.Add(field+".peer", "%s, but \"peer\" is %s", m.Peer, s.Peer.Address)
		}
	}
}

// Check reports a missing name and invalid addresses.
func (m *MemberSettings) Check(c *settings.Checks) {
	c.Require("name", m.Name != "")
	for field, address := range map[string]string{"peer": m.Peer, "operator": m.Operator} {
		if _, err := settings.ParseAddress(address); err != nil {
			c.Add(field, "%v", err)
		}
	}
}

// Self returns the address of this replica.
func (s *Settings) Self() Address {
	return Address{Name: s.Name, Peer: s.Peer.Address, Operator: s.Operator.Address}
}

// addresses returns the addresses of the initial members.
func (s *Settings) addresses() []Address {
	var out []Address
	for _, m := range s.Members {
		out = append(out, Address(m))
	}
	return out
}
