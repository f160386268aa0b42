package overload

// ServiceCount returns the number of services that the controller remembers.
func (c *Controller) ServiceCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.services)
}
