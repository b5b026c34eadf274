package conf

import (
	"net/netip"
	"slices"
	"strings"
)

// Process is the content of a daemon's local settings file.
type Process struct {
	// Entry is the name of the daemon's entry place.
	Entry  string `json:"entry"`
	Half   string `json:"half"`
	Domain string `json:"domain"`
	// Data, Peer and Admin are the addresses that the daemon binds.
	Data  netip.AddrPort `json:"data"`
	Peer  netip.AddrPort `json:"peer"`
	Admin netip.AddrPort `json:"admin"`
	// Peers are admin addresses of other instances, from which the daemon
	// gets settings at start.
	Peers []netip.AddrPort `json:"peers"`
	// ObjectAPI are the addresses of the platform's object API.
	ObjectAPI []netip.AddrPort `json:"objectApi"`
	// ClusterKey seals the messages between instances. It has 16, 24 or 32
	// bytes.
	ClusterKey []byte `json:"clusterKey"`
	// OperatorKey authenticates operators. It has at least 16 bytes.
	OperatorKey []byte `json:"operatorKey"`
	// Logs maps subsystems to log levels. Subsystems without an entry log at
	// level info.
	Logs map[string]string `json:"logs"`
}

// LogSubsystems returns the subsystems that Process.Logs accepts.
func LogSubsystems() []string {
	return []string{"admin", "calls", "core", "daemon", "dist", "flow", "member", "pick", "server", "store"}
}

// LogLevels returns the log levels that Process.Logs accepts.
func LogLevels() []string { return []string{"off", "error", "warn", "info", "debug"} }

const minOperatorKeyBytes = 16

// DecodeProcess decodes and validates a process settings file.
func DecodeProcess(raw []byte) (*Process, Problems) {
	var p Process
	var ps Problems
	r := report{KindProcess, "", &ps}
	r.decodeStruct(raw, &p)
	if len(ps) > 0 {
		return &p, ps
	}
	r.name = p.Entry
	for _, f := range [...]struct{ field, value string }{{"entry", p.Entry}, {"half", p.Half}, {"domain", p.Domain}} {
		if !validName(f.value) {
			r.add(f.field, f.value, "a name of letters, digits, '-', '_' or '.'")
		}
	}
	checkAddr(r, "data", p.Data)
	checkAddr(r, "peer", p.Peer)
	checkAddr(r, "admin", p.Admin)
	if p.Data == p.Peer {
		r.add("peer", p.Peer, "different from data")
	}
	for _, a := range p.Peers {
		checkAddr(r, "peers", a)
	}
	for _, a := range p.ObjectAPI {
		checkAddr(r, "objectApi", a)
	}
	if len(p.ObjectAPI) == 0 {
		r.add("objectApi", "empty", "at least one address")
	}
	if n := len(p.ClusterKey); n != 16 && n != 24 && n != 32 {
		r.add("clusterKey", n, "16, 24 or 32 bytes long")
	}
	if n := len(p.OperatorKey); n < minOperatorKeyBytes {
		r.add("operatorKey", n, "at least 16 bytes long")
	}
	checkLogs(r, p.Logs)
	return &p, ps
}

func checkLogs(r report, logs map[string]string) {
	for _, sub := range sortedNames(logs) {
		if !slices.Contains(LogSubsystems(), sub) {
			r.add("logs."+sub, logs[sub], "the level of one of the subsystems "+strings.Join(LogSubsystems(), ", "))
		}
		if !slices.Contains(LogLevels(), logs[sub]) {
			r.add("logs."+sub, logs[sub], "one of "+strings.Join(LogLevels(), ", "))
		}
	}
}
