package dtrelay

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestBodyBudget(t *testing.T) {
	g := NewWithT(t)
	b := &bodyBudget{}
	held := int64(0)
	for range 40 {
		_, reserved, err := b.readBody(endless{})
		g.Expect(err).To(HaveOccurred())
		held += reserved
		g.Expect(b.used.Load()).To(Equal(held))
	}
	g.Expect(held).To(BeNumerically("<=", maxHeldBodyBytes))
	small := bytes.Repeat([]byte("x"), freeBodyBytes-1)
	body, reserved, err := b.readBody(bytes.NewReader(small))
	g.Expect(err).NotTo(HaveOccurred(), "a small body is read while large ones hold the budget")
	g.Expect(body).To(Equal(small))
	g.Expect(reserved).To(BeZero())
	b.release(held)
	large := bytes.Repeat([]byte("x"), maxResponseBytes)
	body, reserved, err = b.readBody(bytes.NewReader(large))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(HaveLen(maxResponseBytes))
	b.release(reserved)
	g.Expect(b.used.Load()).To(BeZero())
}
