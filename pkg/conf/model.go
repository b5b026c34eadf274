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

// Mark is what operators say of a failure domain or backend server.
type Mark string

// Marks. Only failure domains can be out; only servers can be leaving or
// removed. A removed server's record stays until its address is out of
// quarantine.
const (
	MarkIn      Mark = "in"
	MarkOut     Mark = "out"
	MarkLeaving Mark = "leaving"
	MarkRemoved Mark = "removed"
)

// Domain is the record of a failure domain of one half.
type Domain struct {
	Name string `json:"name"`
	Half string `json:"half"`
	Mark Mark   `json:"mark"`
	// Since is when the mark was set.
	Since time.Time `json:"since,omitzero"`
	// Entries are the places at which instances may run. The number of
	// places of a half bounds what all its instances send together.
	Entries []Entry `json:"entries"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client whose answer was lost finds its own edit by it.
	Edit string `json:"edit,omitempty"`
}

// Entry is a place for one instance.
type Entry struct {
	// Name is unique among all places.
	Name string `json:"name"`
	// Data receives packets from the fabric and from backend servers.
	Data netip.AddrPort `json:"data"`
	// Peer receives control datagrams of other instances.
	Peer netip.AddrPort `json:"peer"`
	// Admin serves settings exchange and the operators' API.
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
	// address counts from it. A server in service at an address that another
	// service's removed server still records needs it too.
	Since time.Time `json:"since,omitzero"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client whose answer was lost finds its own edit by it.
	Edit string `json:"edit,omitempty"`
}

// Key seals and opens tokens.
type Key struct {
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
	// SealFrom is when instances begin to seal with this key. Every instance
	// can open tokens under it before.
	SealFrom time.Time `json:"sealFrom"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client whose answer was lost finds its own edit by it.
	Edit string `json:"edit,omitempty"`
}

// Node is one node of the settings tree.
type Node struct {
	// Path names the node: /, /half, /half/service or /half/service/domain.
	Path string `json:"path"`
	// Generation increases when a deleted node is created again.
	Generation uint64 `json:"generation"`
	Values     Values `json:"values"`
	// Released lists addresses that a service node gave up less than the
	// quarantine ago. A service without an address takes no packets.
	Released []Release `json:"released,omitempty"`
	// Edit is the random identifier of the edit that wrote the record. A
	// client whose answer was lost finds its own edit by it.
	Edit string `json:"edit,omitempty"`
}

// Release is an address in quarantine after its service gave it up.
type Release struct {
	Address netip.AddrPort `json:"address"`
	Since   time.Time      `json:"since"`
}

// Snapshot is the whole of the settings at one revision of the platform.
type Snapshot struct {
	Rev     uint64            `json:"rev"`
	Nodes   map[string]Node   `json:"nodes"`
	Domains map[string]Domain `json:"domains"`
	Servers map[string]Server `json:"servers"`
	Keys    map[string]Key    `json:"keys"`
}
