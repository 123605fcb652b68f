package placement

// takesHedge reports whether the candidate, which has no rate limit, may get a hedge. It answers
// this load: a hedge is additional work, so it must neither wait behind other requests, nor go to a
// server that others avoid, nor use up a rate limit.
func (c *Candidate) takesHedge() bool {
	return c.usable() && !c.Unresponsive && !c.Cold && c.Open < c.Slots
}
