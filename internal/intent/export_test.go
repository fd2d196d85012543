package intent

// IgnoreRevision makes the table accept confirmations of plans that are based on an older revision.
func (t *Table) IgnoreRevision() { t.ignoreRevision = true }

// IgnoreStoredResults makes the table execute resent intents and confirmations again.
func (t *Table) IgnoreStoredResults() { t.ignoreStoredResults = true }
