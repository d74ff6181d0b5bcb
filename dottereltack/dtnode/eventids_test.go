package dtnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamWhoseIDsHaveGapsIsBrokenOff has a stream break off, and the next server go on with a later ID: IDs increase, and
// need not be consecutive.
func TestStreamWhoseIDsHaveGapsIsBrokenOff(t *testing.T) {
	events := func(ids ...int) string {
		b := strings.Builder{}
		for _, id := range ids {
			_, _ = fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
		}
		return b.String()
	}
	for name, tc := range map[string]struct {
		first, second, want string
		isComplete          bool
	}{
		"a gap after numbers":           {events(1, 2, 3), events(5, 6), events(1, 2, 3, 5, 6), true},
		"none is missing":               {events(1, 2, 3), events(4, 5), events(1, 2, 3, 4, 5), true},
		"none after those before":       {events(1, 2, 3), events(2, 3, 4, 5), events(1, 2, 3, 4, 5), true},
		"IDs that are not numbers":      {events(1, 3, 4), events(6, 7), events(1, 3, 4, 6, 7), true},
		"IDs that do not begin with 1":  {events(7, 8, 9), events(11), events(7, 8, 9, 11), true},
		"IDs that are numbers at first": {events(1, 2, 3, 5), events(8), events(1, 2, 3, 5, 8), true},
	} {
		t.Run(name, func(t *testing.T) {
			var count atomic.Int32
			respond := func(id string, _ *http.Request, c net.Conn) {
				if count.Add(1) == 1 {
					_, _ = io.WriteString(c, streamHead(id)+chunk(tc.first))
					_ = c.Close()
					return
				}
				_, _ = io.WriteString(c, streamHead(id)+chunk(tc.second)+"0\r\n\r\n")
			}
			n := newNode(t, newServer(t, respond), newServer(t, respond))
			c := n.dial()
			c.send("/stream/x", "q", "")
			resp, err := c.readResponse()
			n.Expect(resp.body).To(Equal(tc.want))
			n.Expect(err == nil).To(Equal(tc.isComplete), "%v", err)
		})
	}
}
