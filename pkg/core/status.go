package core

// ServerStates returns the state of each server by its name.
func (c *Core) ServerStates() map[string]string {
	m := make(map[string]string, len(c.targets))
	for id, t := range c.targets {
		m[t.name] = c.Servers.State(id)
	}
	return m
}
