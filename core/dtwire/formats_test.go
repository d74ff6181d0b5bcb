package dtwire_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// TestChangedFormatOfTheLastLanding guards against messages that the build which is to be replaced can't read. testdata/messages.txt
// has the samples as all landings from 63a836f to 180fcdf encode them. See "Changes of a format" in PROTOCOL.md.
func TestChangedFormatOfTheLastLanding(t *testing.T) {
	g := NewWithT(t)
	f, err := os.Open("testdata/messages.txt")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	samples := map[string]dtstate.Message{}
	for _, m := range sampleMessages() {
		samples[strings.TrimPrefix(fmt.Sprintf("%T", m), "*dtstate.")] = m
	}
	n := 0
	for lines := bufio.NewScanner(f); lines.Scan(); n++ {
		name, text, _ := strings.Cut(lines.Text(), " ")
		earlier, err := hex.DecodeString(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(samples).To(HaveKey(name))
		now, err := dtwire.Encode(samples[name])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hex.EncodeToString(now)).To(Equal(text), name)
		decoded, err := dtwire.Decode(earlier)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(decoded).To(Equal(samples[name]))
		g.Expect(dtwire.Kind(earlier[0]).String()).To(Equal(name))
	}
	g.Expect(n).To(Equal(21))
}
