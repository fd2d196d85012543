package intent

// IgnoreRevision lets confirmations of outdated plans through.
func (t *Table) IgnoreRevision() { t.ignoreRevision = true }

// IgnoreStoredResults executes resent intents and confirmations again.
func (t *Table) IgnoreStoredResults() { t.ignoreStoredResults = true }
