package peer

// Paths served at the control address for the commands and queries of operators.
const (
	PathIntent        = "/control/v1/intent"
	PathFleet         = "/control/v1/fleet"
	PathReplicaStatus = "/control/v1/replica-status"
	PathExplain       = "/control/v1/explain"
)
