package poison

// ConvictAnyone makes the board quarantine content that crashed twice without a permit.
func (b *Tracker) ConvictAnyone() { b.convictAnyone = true }
