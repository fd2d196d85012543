package peer

// Paths of the control address that serve operators' commands and queries.
const (
	PathIntent        = "/control/v1/intent"
	PathFleet         = "/control/v1/fleet"
	PathReplicaStatus = "/control/v1/replica-status"
	PathExplain       = "/control/v1/explain"
)
