package dtrelay

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestEventsWithOtherLineEnds guards against events that are held until the stream ends, and then
// dropped as broken off, because their lines end in CR LF.
func TestEventsWithOtherLineEnds(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first := "id: 1" + end + "data: a" + end + end
			second := "id: 2" + end + "data: b" + end + end
			text := first + second + "id: 3" + end
			s := eventSplitter{}
			var got string
			for i := range len(text) {
				s.write([]byte{text[i]})
				got += string(s.takeComplete(""))
				if i == len(first)-1 {
					g.Expect(got).To(Equal(first))
				}
			}
			g.Expect(got).To(Equal(first + second))
			g.Expect(s.lastID).To(Equal("2"))
			g.Expect(s.buffer).NotTo(BeEmpty(), "the third event is incomplete")
			s = eventSplitter{}
			s.write([]byte(first + second))
			g.Expect(string(s.takeComplete("1"))).To(Equal(second))
			g.Expect(s.buffer).To(BeEmpty())
		})
	}
}

// TestResumedEventsWithoutID checks that a resumed stream passes on the same events whether they
// arrive together or apart: those without an ID always, such as the end marker of some servers.
func TestResumedEventsWithoutID(t *testing.T) {
	text := ": comment\n\nid: 1\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	want := ": comment\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	for _, size := range []int{1, 5, len(text)} {
		s := eventSplitter{}
		got := ""
		for piece := range bytesIn([]byte(text), size) {
			s.write(piece)
			got += string(s.takeComplete("1"))
		}
		NewWithT(t).Expect(got).To(Equal(want), "in reads of %d bytes", size)
	}
}
