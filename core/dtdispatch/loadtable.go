package dtdispatch

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// LoadCount is the load of one server in a LoadTable.
type LoadCount struct {
	Key   uint32 // Index of the server in Roster.Refs, or its ServerRef; see LoadTable.
	Count int
}

// LoadTable lists loads in ascending order of keys. The keys are indexes if the list of servers is named by its hash, and
// references of servers otherwise: a busy fleet names most of its servers, and an entry takes a byte in place of seven.
type LoadTable []LoadCount

// errLoadTable is returned for bytes that are no LoadTable.
var errLoadTable = errors.New("malformed table of loads")

// Each entry is a varint of the distance of its key and, in the lowest bits, the count less the least one of the table. A count
// that does not fit follows as a varint of its own.
const (
	countBits     = 2
	countMask     = 1<<countBits - 1
	maxTableCount = 1 << 20
)

// MarshalBinary implements encoding.BinaryMarshaler.
func (t LoadTable) MarshalBinary() ([]byte, error) {
	least := maxTableCount
	for _, entry := range t {
		least = min(least, max(entry.Count, 0))
	}
	body := binary.AppendUvarint(make([]byte, 0, 2*len(t)+binary.MaxVarintLen64), uint64(least))
	next := uint32(0)
	for _, entry := range t {
		more := uint64(min(max(entry.Count, 0), maxTableCount) - least)
		body = binary.AppendUvarint(body, uint64(entry.Key-next)<<countBits|min(more, countMask))
		if more >= countMask {
			body = binary.AppendUvarint(body, more-countMask)
		}
		next = entry.Key + 1
	}
	return body, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (t *LoadTable) UnmarshalBinary(body []byte) error {
	least, n := binary.Uvarint(body)
	if n <= 0 || least > maxTableCount {
		return errLoadTable
	}
	body = body[n:]
	table := make(LoadTable, 0, len(body)/2) //nolint:mnd // An entry takes one to six bytes.
	for next := uint64(0); len(body) > 0; {
		distance, n := binary.Uvarint(body)
		if n <= 0 {
			return errLoadTable
		}
		body = body[n:]
		more := distance & countMask
		if more == countMask {
			extra, n := binary.Uvarint(body)
			if n <= 0 || extra > maxTableCount {
				return errLoadTable
			}
			body, more = body[n:], more+extra
		}
		key := next + distance>>countBits
		if key < next || key > 1<<32-1 {
			return errLoadTable
		}
		table = append(table, LoadCount{Key: uint32(key), Count: int(least + more)})
		next = key + 1
	}
	*t = table
	return nil
}

// loadTable returns the table of some loads for a router that has the list of servers with a hash, or any list if the hash
// is zero.
func (r *Roster) loadTable(loads map[ServerRef]int, listHash uint64) LoadTable {
	table := make(LoadTable, 0, len(loads))
	if listHash == 0 {
		for ref, n := range loads {
			table = append(table, LoadCount{Key: uint32(ref), Count: n})
		}
		slices.SortFunc(table, func(a, b LoadCount) int { return int(int64(a.Key) - int64(b.Key)) })
		return table
	}
	for i, ref := range r.Refs {
		if n, isListed := loads[ref]; isListed {
			table = append(table, LoadCount{Key: uint32(i), Count: n}) //nolint:gosec // Lists are far shorter than 4 G.
		}
	}
	return table
}

// loadsOf returns the loads of a table, or false if this router has not the list of servers that it refers to.
func (r *Roster) loadsOf(table LoadTable, listHash uint64) (map[ServerRef]int, bool) {
	if listHash != 0 && listHash != r.RefsHash {
		return nil, false
	}
	loads := make(map[ServerRef]int, len(table))
	for _, entry := range table {
		switch {
		case listHash == 0:
			loads[ServerRef(entry.Key)] = entry.Count
		case int(entry.Key) < len(r.Refs):
			loads[r.Refs[entry.Key]] = entry.Count
		default:
			return nil, false
		}
	}
	return loads, true
}

// observeRefs sets Refs, RefsHash and RefsChangedAt from Servers.
func (r *Roster) observeRefs(now time.Time) {
	r.Refs = r.Refs[:0]
	for ref := range r.ByRef {
		r.Refs = append(r.Refs, ref)
	}
	slices.Sort(r.Refs)
	hash := uint64(len(r.Refs))
	for _, ref := range r.Refs {
		hash = Mix(hash, uint64(ref))
	}
	if hash != r.RefsHash {
		r.RefsHash, r.RefsChangedAt = hash, now
	}
}
