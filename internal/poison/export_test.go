package poison

// IgnorePermits allows the quarantine of content that crashed twice without a permit.
func (b *Board) IgnorePermits() { b.ignorePermits = true }
