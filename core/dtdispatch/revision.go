package dtdispatch

// Revision is a revision of the store, ordered by the store's era and then by the number within it. An
// era begins when the store has come back from an older copy of its data: it gives numbers out again,
// so that they order nothing across eras. The zero value precedes all others.
//
// It is one integer, the era in the upper bits, since messages between routers carry it as such.
type Revision uint64

// revisionNumberBits is the size of the number in a Revision.
const revisionNumberBits = 48

// Limits of the parts of a Revision.
const (
	MaxEra            = 1<<(64-revisionNumberBits) - 1
	MaxRevisionNumber = 1<<revisionNumberBits - 1
)

// NewRevision returns the revision with a number of at most MaxRevisionNumber in an era of at most MaxEra.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<revisionNumberBits | number)
}

// Era returns the era of the store, or zero if the store names none.
func (r Revision) Era() uint64 { return uint64(r >> revisionNumberBits) }

// Number returns the number of the revision within its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxRevisionNumber }
