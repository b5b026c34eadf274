// Package conf models the settings of the system: the tree of nodes that
// inherit from their parents, the marks of failure domains, the records of
// backend servers, and the keys.
package conf

import (
	"net/netip"
	"time"
)

// ServiceID identifies a service; it is never reused.
type ServiceID uint32

// ServerID identifies a backend server; it is never reused.
type ServerID uint32

// Mark is the administrative state of a failure domain or backend server.
type Mark string

// Marks. Only failure domains can be out; only servers can be leaving or
// removed. The record of a removed server stays until the quarantine of its
// address ends.
const (
	MarkIn      Mark = "in"
	MarkOut     Mark = "out"
	MarkLeaving Mark = "leaving"
	MarkRemoved Mark = "removed"
)

// Domain is the record of a failure domain of one half.
type Domain struct {
	Name string `json:"name"`
	// Half is the half of the system that the domain belongs to, which is the
	// first name in the paths of its services.
	Half string `json:"half"`
	Mark Mark   `json:"mark"`
	// Since is when the mark was set.
	Since time.Time `json:"since,omitzero"`
	// Entries are the entry places, at which instances may run. An instance
	// computes its cold-start quotas from all entries of its half, so that the
	// instances together stay within the limits of a server.
	Entries []Entry `json:"entries"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client that received no answer to a write uses it to find out whether
	// the write took effect.
	Edit string `json:"edit,omitempty"`
}

// Entry is an entry place: the name and the addresses reserved for one instance.
// A process that replaces another one there takes over both.
type Entry struct {
	// Name is unique among all entry places.
	Name string `json:"name"`
	// Data receives packets from the fabric and from backend servers.
	Data netip.AddrPort `json:"data"`
	// Peer receives control datagrams of other instances.
	Peer netip.AddrPort `json:"peer"`
	// Admin serves the exchange of settings and the operator API.
	Admin netip.AddrPort `json:"admin"`
}

// Server is the record of a backend server.
type Server struct {
	ID   ServerID `json:"id"`
	Name string   `json:"name"`
	// Service is the path of the service's node, such as /koysipaja/order.
	Service string `json:"service"`
	// Domain is the name of the server's failure domain.
	Domain string         `json:"domain"`
	Addr   netip.AddrPort `json:"addr"`
	// Generation increases when the server is replaced under its identifier.
	Generation uint32 `json:"generation"`
	Mark       Mark   `json:"mark"`
	// Since is when the mark was set. The quarantine of a removed server's
	// address starts then. It must also be set for a server that takes over
	// the address of a removed server of another service.
	Since time.Time `json:"since,omitzero"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client that received no answer to a write uses it to find out whether
	// the write took effect.
	Edit string `json:"edit,omitempty"`
}

// Key is a key that seals and opens tokens.
type Key struct {
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
	// SealFrom is when instances begin to seal with this key. They open
	// tokens of the key before that time, too.
	SealFrom time.Time `json:"sealFrom"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client that received no answer to a write uses it to find out whether
	// the write took effect.
	Edit string `json:"edit,omitempty"`
}

// Node is one node of the settings tree.
type Node struct {
	// Path is /, /half, /half/service or /half/service/domain.
	Path string `json:"path"`
	// Generation increases when a deleted node is created again.
	Generation uint64 `json:"generation"`
	Values     Values `json:"values"`
	// Released lists the addresses that a service node no longer uses and
	// that are in quarantine. A service without an address receives no
	// packets.
	Released []Release `json:"released,omitempty"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client that received no answer to a write uses it to find out whether
	// the write took effect.
	Edit string `json:"edit,omitempty"`
}

// Release is an address that a service no longer uses, with the start of its
// quarantine.
type Release struct {
	Address netip.AddrPort `json:"address"`
	Since   time.Time      `json:"since"`
}

// Snapshot holds all settings at one revision of the platform's object API.
type Snapshot struct {
	Rev     uint64            `json:"rev"`
	Nodes   map[string]Node   `json:"nodes"`
	Domains map[string]Domain `json:"domains"`
	Servers map[string]Server `json:"servers"`
	Keys    map[string]Key    `json:"keys"`
}
