package conf

// Cache resolves the values of many servers of one snapshot. Servers of one
// service share a result, except in failure domains with a node of their own:
// with 20 servers of a service in 22 failure domains, a result for each pair
// was made for nearly every server.
type Cache struct {
	Snapshot *Snapshot

	at map[string]Resolved
}

// Server returns the values in force for a server. A node that is missing on
// the way counts as empty, so that a deleted node does not stop its servers.
// The result is that of the service's path when the failure domain has no node
// there.
func (c *Cache) Server(rec *Server) Resolved {
	path := rec.Service + "/" + rec.Domain
	if _, ok := c.Snapshot.Nodes[path]; !ok {
		path = rec.Service
	}
	if r, ok := c.at[path]; ok {
		return r
	}
	r := Resolved{Path: path, Source: map[string]string{}}
	for i := range fields {
		fields[i].reset(&r)
	}
	for _, p := range lineage(path) {
		if n, ok := c.Snapshot.Nodes[p]; ok {
			r.take(p, &n.Values)
		}
	}
	if c.at == nil {
		c.at = map[string]Resolved{}
	}
	c.at[path] = r
	return r
}
