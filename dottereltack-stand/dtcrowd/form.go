package dtcrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Client is a client of a crowd in one round.
type Client struct {
	net.Conn
	Target *Target
	Group  int
	Index  int // In its group.
	Round  int
	blocks *blocks
	lastID string // Of its request.
	over   <-chan struct{}
}

// id returns an ID for its request that no other request of the crowd has.
func (c *Client) id(form string) string {
	c.lastID = fmt.Sprintf("%s-%d-%d-%d", form, c.Group, c.Index, c.Round)
	return c.lastID
}

// readStatus reads the status of the response to its request, if there is one.
func (c *Client) readStatus() {
	const statusLine, statusAt = len("HTTP/1.1 200"), len("HTTP/1.1 ")
	line := make([]byte, statusLine)
	if _, err := io.ReadFull(c, line); err != nil || c.lastID == "" || c.Target.Responded == nil {
		return
	}
	if status, err := strconv.Atoi(string(line[statusAt:])); err == nil {
		c.Target.Responded(c.lastID, status)
	}
}

// Form sends what a client sends over its connection. It returns once all has been sent, or the connection has failed.
type Form func(c *Client) error

// silence is how long a client that does not read is silent.
const silence = 8 * time.Second

// Numbers of what the blocks repeat.
const (
	plainBlockBytes   = 64 << 10
	oneByteChunkCount = 16 << 10
	fieldCount        = 20
)

// blocks are what clients send again and again; they share them.
type blocks struct {
	plain        []byte
	oneByteChunk []byte
	fields       []byte
}

func newBlocks() *blocks {
	return &blocks{
		plain:        bytes.Repeat([]byte("b"), plainBlockBytes),
		oneByteChunk: bytes.Repeat([]byte("1\r\nb\r\n"), oneByteChunkCount),
		fields:       bytes.Repeat([]byte("X-Field: 0123456789012345678901234567890123456789\r\n"), fieldCount),
	}
}

// LargeChunk sends one chunk of the full size but for its last byte.
func LargeChunk(c *Client) error {
	if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", c.Target.Head(c.id("chunk")), c.Target.BodyBytes); err != nil {
		return err
	}
	if err := writeRepeated(c, c.blocks.plain, c.Target.BodyBytes/plainBlockBytes-1); err != nil {
		return err
	}
	_, err := c.Write(c.blocks.plain[1:])
	return err
}

// OneByteChunks sends a body of the full size in chunks of one byte, without its end.
func OneByteChunks(c *Client) error {
	if _, err := io.WriteString(c, c.Target.Head(c.id("bytes"))+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return writeRepeated(c, c.blocks.oneByteChunk, c.Target.BodyBytes/oneByteChunkCount)
}

// OverLimitChunked sends four times what a body may have, in chunks.
func OverLimitChunked(c *Client) error {
	const hexadecimal = 16
	if _, err := io.WriteString(c, c.Target.Head(c.id("over"))+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := append(append([]byte(strconv.FormatInt(int64(plainBlockBytes), hexadecimal)+"\r\n"), c.blocks.plain...), "\r\n"...)
	return writeRepeated(c, chunk, 4*c.Target.BodyBytes/plainBlockBytes)
}

// OverLimitAnnounced announces and sends sixteen times what a body may have.
func OverLimitAnnounced(c *Client) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.Target.Head(c.id("announced")), 16*c.Target.BodyBytes); err != nil {
		return err
	}
	return writeRepeated(c, c.blocks.plain, 16*c.Target.BodyBytes/plainBlockBytes)
}

// AnnouncedOnly announces a body of the full size and sends one byte of it.
func AnnouncedOnly(c *Client) error {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\nb", c.Target.Head(c.id("announced-only")), c.Target.BodyBytes)
	return err
}

// AnnouncedChunk announces a chunk of the full size and sends one byte of it.
func AnnouncedChunk(c *Client) error {
	_, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\nb", c.Target.Head(c.id("announced-chunk")), c.Target.BodyBytes)
	return err
}

// EndlessHead sends header fields without an end, at once or, with an odd index, one now and then.
func EndlessHead(c *Client) error {
	const interval = 200 * time.Millisecond
	if _, err := io.WriteString(c, c.Target.Head(c.id("head"))); err != nil {
		return err
	}
	if c.Index%2 == 0 {
		return writeRepeated(c, c.blocks.fields, 100)
	}
	for c.wait(interval) {
		if _, err := io.WriteString(c, "X-Field: 0\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// BehindRequest sends a small request, and 8 MiB behind it on the same connection while the request runs.
func BehindRequest(c *Client) error {
	const behindBytes = 8 << 20
	if _, err := io.WriteString(c, c.Target.Head(c.id("behind"))+"Content-Length: 1\r\n\r\nb"); err != nil {
		return err
	}
	return writeRepeated(c, c.blocks.plain, behindBytes/plainBlockBytes)
}

// UnreadResponses sends 8 MiB of small requests, one behind the other, and does not read their responses until all is sent.
func UnreadResponses(c *Client) error {
	const requestBytes = 8 << 20
	c.narrow()
	request := []byte(c.Target.Head(c.id("unread")) + "Content-Length: 0\r\n\r\n")
	return writeRepeated(c, request, requestBytes/len(request))
}

// Flood sends 8 MiB that are no request.
func Flood(c *Client) error {
	const floodBytes = 8 << 20
	return writeRepeated(c, c.blocks.plain, floodBytes/plainBlockBytes)
}

// UnreadResponse sends a whole request of the full size, whose response is as large where the target echoes it, and reads nothing for
// 8 s.
func UnreadResponse(c *Client) error {
	c.narrow()
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.Target.Head(c.id("response")), c.Target.BodyBytes); err != nil {
		return err
	}
	if err := writeRepeated(c, c.blocks.plain, c.Target.BodyBytes/plainBlockBytes); err != nil {
		return err
	}
	c.wait(silence)
	return nil
}

// UnreadStream asks for a stream whose events are as large as the body that it sends, and reads nothing for 8 s.
func UnreadStream(c *Client) error {
	c.narrow()
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", c.Target.StreamHead(c.id("stream")), plainBlockBytes, c.blocks.plain); err != nil {
		return err
	}
	c.wait(silence)
	return nil
}

// narrow has the kernel take little of what the target sends.
func (c *Client) narrow() {
	const windowBytes = 4 << 10
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes)
	}
}

// wait waits for d, and reports whether the crowd is still there.
func (c *Client) wait(d time.Duration) bool {
	select {
	case <-c.over:
		return false
	case <-time.After(d):
		return true
	}
}

func writeRepeated(w io.Writer, b []byte, n int) error {
	for range n {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}
