package core

// ServerStates returns the lifecycle state of each server by name.
func (c *Core) ServerStates() map[string]string {
	m := make(map[string]string, len(c.addrs))
	for id, t := range c.addrs {
		m[t.name] = c.Servers.State(id)
	}
	return m
}
