package dtstate

// Message is a message between routers; every field is plain data.
type Message interface{ isMessage() }

// Heartbeat reports that its sender is alive, with hashes and versions of its state.
type Heartbeat struct {
	Sequence      uint64 // Heartbeat intervals since the sender's start.
	ConfigVersion uint64
	GossipHash    uint64
	DomainAges    []DomainAge // When the sender last heard from other failure domains.
	SilenceMs     uint32      // Since the sender last heard from the receiver; zero if the receiver does not send it heartbeats.
	Reply         bool        // The heartbeat replies to one of the receiver.
	Ledger        LedgerPosition
}

// LedgerPosition is the number of the last refusal of a router incarnation.
type LedgerPosition struct {
	Start  uint64 // Incarnation of the router.
	Number uint64
}

// DomainAge is how long ago the sender heard from a failure domain.
type DomainAge struct {
	Domain FailureDomain
	AgeMs  uint32
}

// JoinRequest introduces a router to one that may not know it.
type JoinRequest struct {
	Self     Member
	FullSync bool // Requests all announcements; set if the sender knows no other router or has no configuration.
}

// Gossip carries announcements that the receiver may not have.
type Gossip struct {
	Announcements []Announcement
}

// GossipSummary carries the hash of each bucket of the sender's table.
type GossipSummary struct {
	Buckets []uint64
}

// GossipIndex lists the announcements in some buckets of the sender's table, so that the
// receiver can send newer ones.
type GossipIndex struct {
	Buckets []uint64
	Entries []GossipIndexEntry
	Reply   bool // The index replies to one of the receiver.
}

// GossipIndexEntry is the identity and the version of one announcement.
type GossipIndexEntry struct {
	Identity uint64
	Version  uint64
}

// PingRequest asks the receiver to ping Target for the sender.
type PingRequest struct {
	Target RouterID
}

// PingAck reports that the sender heard from Target recently.
type PingAck struct {
	Target RouterID
}

// Loads reports the exact loads of backend servers that the sender owns.
type Loads struct {
	Servers []ServerLoad
}

// ServerLoad is the load of one backend server.
type ServerLoad struct {
	ServerHash uint64 // Hash of the server's ID.
	InFlight   uint32
	Work       uint32 // Estimated tokens of the requests in flight.
	Cap        uint32 // Maximum requests in flight; zero if the load is not known.
	Flags      uint8  // FlagCold and FlagDown.
	Version    uint64 // The highest one wins.
	Start      uint64 // Incarnation of the server.
}

// SlotRequest requests a slot for one attempt from an owner of backend servers.
type SlotRequest struct {
	EntryRouter  RouterID // The router that the reply goes to.
	Request      RequestID
	Attempt      uint32
	Account      ClientAccount
	Group        string
	Chat         uint64
	Digest       uint64
	Class        Class
	Work         uint32       // Estimated tokens.
	RemainingMs  uint32       // Time left until the request's deadline.
	Hops         uint8        // How often the request was forwarded.
	Crashes      uint8        // Servers known to have crashed while they ran the request.
	TriedServers []ServerID   // Servers that must not be tried again.
	Loads        []ServerLoad // Loads at the forwarding owner.
}

// SlotQueued reports that a slot request waits at the sender.
type SlotQueued struct {
	Request RequestID
	Attempt uint32
}

// SlotGrant grants an attempt a slot at a backend server.
type SlotGrant struct {
	Request RequestID
	Attempt uint32
	Server  ServerID
}

// SlotDenial denies a slot request and may suggest when to try again.
type SlotDenial struct {
	Request      RequestID
	Attempt      uint32
	Reason       Reason
	RetryAfterMs uint32 // Zero if no time is suggested.
}

// SlotStarted reports that the first byte of an answer arrived after WaitMs.
type SlotStarted struct {
	Request RequestID
	Attempt uint32
	Server  ServerID
	WaitMs  uint32
}

// SlotReleased releases a slot and reports the outcome of its attempt.
type SlotReleased struct {
	Request RequestID
	Attempt uint32
	Server  ServerID
	Outcome Outcome
}

// ServerVerdict reports whether a crash of the server was detected after its answer was
// cut.
type ServerVerdict struct {
	Request RequestID
	Attempt uint32
	Crashed bool
	Crashes uint8 // Servers known to have crashed while they ran the request.
}

// SlotRenewal lists the slots of the receiver that the sender still uses.
type SlotRenewal struct {
	Slots []Slot
}

// Slot describes one attempt in flight at a backend server.
type Slot struct {
	Request RequestID
	Attempt uint32
	Server  ServerID
	Account ClientAccount
	Work    uint32 // Estimated tokens.
	Digest  uint64
	Class   Class
}

// ClaimRequest asks the receiver to acquire, read, complete or release the claim on an
// order key in the platform.
type ClaimRequest struct {
	EntryRouter    RouterID
	Request        RequestID
	Op             ClaimOp
	Account        ClientAccount
	Key            string
	KeyCreatedAtMs int64 // In Unix milliseconds.
	BodyHash       uint64
	Status         int    // Set with ClaimComplete.
	Answer         []byte // Set with ClaimComplete if it is short enough to be stored.
}

// ClaimReply reports the result of a ClaimRequest.
type ClaimReply struct {
	Request RequestID
	Op      ClaimOp
	Result  ClaimResult
	Status  int
	Answer  []byte
}

// ModelMismatch informs a leader that an engine serves a model other than its group's.
type ModelMismatch struct {
	Server ServerID
	Model  string
}

// RefusalReplica carries refusals of the sender that the receiver keeps until they are
// stored.
type RefusalReplica struct {
	Page RefusalPage
}

// RefusalStored confirms that the platform has stored the refusals From to Through.
type RefusalStored struct {
	Router  RouterID
	Start   uint64 // Incarnation of the router.
	From    uint64
	Through uint64
}

func (*Heartbeat) isMessage()      {}
func (*JoinRequest) isMessage()    {}
func (*Gossip) isMessage()         {}
func (*GossipSummary) isMessage()  {}
func (*GossipIndex) isMessage()    {}
func (*PingRequest) isMessage()    {}
func (*PingAck) isMessage()        {}
func (*Loads) isMessage()          {}
func (*SlotRequest) isMessage()    {}
func (*SlotQueued) isMessage()     {}
func (*SlotGrant) isMessage()      {}
func (*SlotDenial) isMessage()     {}
func (*SlotStarted) isMessage()    {}
func (*SlotReleased) isMessage()   {}
func (*ServerVerdict) isMessage()  {}
func (*SlotRenewal) isMessage()    {}
func (*ClaimRequest) isMessage()   {}
func (*ClaimReply) isMessage()     {}
func (*ModelMismatch) isMessage()  {}
func (*RefusalReplica) isMessage() {}
func (*RefusalStored) isMessage()  {}
