package dtstate

// Message is a message between routers; every field is plain data.
type Message interface{ isMessage() }

// Heartbeat reports that its sender is alive, with digests of its state.
type Heartbeat struct {
	Sequence      uint64 // Heartbeat intervals since the sender's start.
	ConfigVersion uint64
	GossipDigest  uint64
	DomainAges    []DomainAge // When the sender last heard from other failure domains.
	SilenceMs     uint32      // Since the sender last heard from the receiver.
	Reply         bool        // The heartbeat answers one of the receiver.
	Ledger        LedgerPosition
}

// LedgerPosition is the number of refusals that a router incarnation has numbered.
type LedgerPosition struct {
	Start  uint64
	Number uint64
}

// DomainAge is how long ago the sender heard from a failure domain.
type DomainAge struct {
	Domain FailureDomain
	AgeMs  uint32
}

// JoinRequest introduces a router to one that may not know it. With FullSync, which a
// router sends that knows no other, the receiver replies with all announcements.
type JoinRequest struct {
	Self     Member
	FullSync bool
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
	Reply   bool // The index answers one of the receiver.
}

// GossipIndexEntry is the identity and the version of one announcement.
type GossipIndexEntry struct {
	Key     uint64 // Identity of the announcement.
	Version uint64
}

// PingRequest asks the receiver to ping Target on behalf of the sender.
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
	Server   uint64 // Hash of the server's ID.
	Inflight uint32
	Work     uint32 // Estimated tokens of the requests in flight.
	Cap      uint32
	Flags    uint8
	Version  uint64 // The highest one wins.
	Start    uint64 // Incarnation of the server.
}

// SlotRequest requests a slot for one attempt from the owner of a backend server.
type SlotRequest struct {
	Entry      RouterID // The router that the reply goes to.
	Request    RequestID
	Attempt    uint32
	Account    ClientAccount
	Group      string
	Chat       uint64
	Digest     uint64
	Class      Class
	Work       uint32
	DeadlineMs uint32
	Hops       uint8        // How often the request was forwarded.
	Crashes    uint8        // Servers that crashed while they ran the request.
	Avoid      []ServerID   // Servers to exclude.
	Loads      []ServerLoad // Loads at the forwarding owner.
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

// SlotDenial denies a slot request and suggests when to try again.
type SlotDenial struct {
	Request RequestID
	Attempt uint32
	Reason  Reason
	RetryMs uint32
}

// SlotStarted reports that the first byte of an answer came after WaitMs.
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

// ServerVerdict reports whether the backend server of a cut attempt crashed.
type ServerVerdict struct {
	Request RequestID
	Attempt uint32
	Crashed bool
	Crashes uint8
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
	Work    uint32
	Digest  uint64
	Class   Class
}

// ClaimRequest asks the receiver to acquire, read, complete or release the claim on an
// order key in the platform.
type ClaimRequest struct {
	Entry    RouterID
	Request  RequestID
	Op       ClaimOp
	Account  ClientAccount
	Key      string
	TimeMs   int64
	BodyHash uint64
	Status   int    // Set with ClaimComplete.
	Answer   []byte // Set with ClaimComplete if it is short enough to be stored.
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Request RequestID
	Op      ClaimOp
	Result  ClaimResult
	Status  int
	Answer  []byte
}

// ModelMismatch informs a leader that an engine serves another model than that of its
// group.
type ModelMismatch struct {
	Server ServerID
	Model  string
}

// RefusalReplica carries refusals of the sender that the receiver keeps until they are
// stored.
type RefusalReplica struct {
	Page RefusalPage
}

// RefusalStored confirms that the platform has stored the refusals numbered From to
// Through.
type RefusalStored struct {
	Router  RouterID
	Start   uint64
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
