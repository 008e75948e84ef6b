package capacity

// The size that the system is to run at, from the first letter.
const (
	Nodes            = 590
	Servers          = 12_000
	Requests         = 100_000.0
	Tokens           = 23e6
	Versions         = 17
	FailureDomains   = 10
	ChangesPerDay    = 20_000
	NodesPerDomain   = Nodes / FailureDomains
	RequestsPerNode  = Requests / Nodes
	ServiceReads     = 2000
	ServiceWrites    = 300
	ControlBytes     = 6 * 1024
	ControlCore      = 0.01
	ControlMemory    = 32 << 20
	InForceSeconds   = 11
	secondsPerDay    = 24 * 60 * 60
	RestartsPerDay   = 1_560
	ChangesPerSecond = ChangesPerDay / float64(secondsPerDay)
	// RestartsPerSecond counts VMs that fail and those that are restarted or replaced.
	RestartsPerSecond = RestartsPerDay / float64(secondsPerDay)
)
