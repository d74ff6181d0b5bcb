package dtintake

// Sizes of the kernel's receive buffer of a connection. The kernel holds at most so many bytes that have arrived and that the
// process has not read.
const (
	WideReceiveBytes   = 64 << 10  // Carries a request or a response of ordinary size in one round trip.
	NarrowReceiveBytes = 8 << 10   // The smallest that carries a large one in reasonable time.
	BodyReceiveBytes   = 256 << 10 // Of a caller that sends a large body.
	PeerReceiveBytes   = 128 << 10 // Of another router, once it has shown to be one: it passes configurations and lists on.
)

// ReceivePool shares the memory of receive buffers among the connections of one kind.
type ReceivePool struct {
	Limit int64 // Zero for none.
	Used  int64
}

// Take returns the size of the buffer of a new connection. Half of the pool goes to wide buffers; later connections have
// narrow ones, also beyond the limit.
func (p *ReceivePool) Take() int64 {
	size := int64(NarrowReceiveBytes)
	if p.leavesHalf(WideReceiveBytes) {
		size = WideReceiveBytes
	}
	p.Used += size
	return size
}

// Widen returns the size to which a buffer may grow for a large body, which is its present one if there is no room.
func (p *ReceivePool) Widen(size int64) int64 {
	for _, wider := range []int64{BodyReceiveBytes, WideReceiveBytes} {
		if wider > size && p.leavesHalf(wider-size) {
			p.Used += wider - size
			return wider
		}
	}
	return size
}

// Return gives a buffer back.
func (p *ReceivePool) Return(size int64) { p.Used -= size }

// IsFull reports whether there is no room for the buffer of one more connection.
func (p *ReceivePool) IsFull() bool { return p.Limit > 0 && p.Used+NarrowReceiveBytes > p.Limit }

// leavesHalf reports whether half of the pool is free after n more bytes.
func (p *ReceivePool) leavesHalf(n int64) bool { return p.Limit == 0 || p.Used+n <= p.Limit/2 }
