package poison

// IgnorePermits allows the quarantine of content that crashed twice without a permit.
func (t *Tracker) IgnorePermits() { t.ignorePermits = true }
