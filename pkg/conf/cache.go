package conf

// Cache resolves the values of many servers of one snapshot and keeps the
// results. Servers of a service share one result, except those in a failure
// domain that has its own node below the service. One result for each pair of
// service and failure domain would mean one for nearly every server: a service
// with 20 servers in 22 failure domains has few servers in the same domain.
type Cache struct {
	Snapshot *Snapshot

	byPath map[string]Resolved
}

// Server returns the values in force for a server. A missing node counts as
// empty, so that the servers below a deleted node stay in service. If the
// failure domain has no node below the service, the result is that of the
// service's path.
func (c *Cache) Server(rec *Server) Resolved {
	path := rec.Service + "/" + rec.Domain
	if _, ok := c.Snapshot.Nodes[path]; !ok {
		path = rec.Service
	}
	if r, ok := c.byPath[path]; ok {
		return r
	}
	r := Resolved{Path: path, Source: map[string]string{}}
	for i := range fields {
		fields[i].setDefault(&r)
	}
	for _, p := range pathsFromRoot(path) {
		if n, ok := c.Snapshot.Nodes[p]; ok {
			r.applyNode(p, &n.Values)
		}
	}
	if c.byPath == nil {
		c.byPath = map[string]Resolved{}
	}
	c.byPath[path] = r
	return r
}
