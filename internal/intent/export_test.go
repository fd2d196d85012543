package intent

// IgnoreRevision lets confirmations of outdated plans through.
func (t *Table) IgnoreRevision() { t.ignoreRevision = true }

// IgnoreStored executes resent intents and confirmations again.
func (t *Table) IgnoreStored() { t.ignoreStored = true }
