package dtserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtmeter"
	"github.com/dottereltack/dottereltack/dottereltack/dtserver"
)

// startEchoingServer starts a server that calls respond with the ID of each request and the number of
// requests on its connection. It returns its address.
func startEchoingServer(t *testing.T, respond func(id string, n int, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					respond(req.Header.Get(dtapi.HeaderRequestID), n, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func writeResponse(c net.Conn, status int, id, body string) {
	field := ""
	if id != "" {
		field = dtapi.HeaderRequestID + ": " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

// call sends a request with an ID and returns the body of its response.
func call(client *dtserver.Client, address, id string) (string, dtstate.Outcome, error) {
	resp, outcome, err := client.Do(context.Background(), &dtserver.Request{Address: address, Path: "/x", ID: dtstate.RequestID(id), SendBefore: time.Now().Add(time.Second)})
	if err != nil || resp == nil {
		return "", outcome, err
	}
	body, err := resp.ReadBody(func(int64) bool { return true })
	resp.DiscardRest()
	resp.Release()
	return string(body), outcome, err
}

// TestLateCopyOfAResponse guards against a server that sends the second copy of a response on a
// connection that is in use again, so that the next request gets it.
func TestLateCopyOfAResponse(t *testing.T) {
	for name, echoes := range map[string]bool{"with IDs": true, "without IDs": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			previous := ""
			address := startEchoingServer(t, func(id string, n int, c net.Conn) {
				shown := func(id string) string {
					if echoes {
						return id
					}
					return ""
				}
				if n > 1 {
					writeResponse(c, 200, shown(previous), "answer to "+previous)
				}
				writeResponse(c, 200, shown(id), "answer to "+id)
				previous = id
			})
			client := dtserver.New("", dtmeter.New())
			defer client.Close()
			for i := range 6 {
				id := fmt.Sprint("q", i)
				body, outcome, err := call(client, address, id)
				if err == nil {
					g.Expect(body).To(Equal("answer to " + id))
				} else {
					g.Expect(outcome).To(Equal(dtstate.OutcomeCut), "the request may have run")
				}
			}
		})
	}
}

// TestConnectionIsReused checks that a server that returns the request ID keeps its connections.
func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	most := 0
	address := startEchoingServer(t, func(id string, n int, c net.Conn) {
		most = max(most, n)
		writeResponse(c, 200, id, "{}")
	})
	client := dtserver.New("", dtmeter.New())
	defer client.Close()
	for i := range 4 {
		_, _, err := call(client, address, fmt.Sprint("q", i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(client.Probe(dtstate.Probe{Address: address}).Result).To(Equal(dtstate.ProbeAnswered))
	}
	g.Expect(most).To(Equal(8))
}

// TestCommandChecksItsResponse guards against commands and status requests that count as done
// although the server refused them or responded to another request.
func TestCommandChecksItsResponse(t *testing.T) {
	for name, respond := range map[string]func(id string, n int, c net.Conn){
		"a conflict":                      func(id string, _ int, c net.Conn) { writeResponse(c, 409, id, "{}") },
		"the response to another request": func(_ string, _ int, c net.Conn) { writeResponse(c, 200, "other", "{}") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startEchoingServer(t, respond)
			client := dtserver.New("", dtmeter.New())
			defer client.Close()
			now := time.Now()
			g.Expect(client.LoadModel(dtstate.LoadModel{Address: address, SendBefore: now.Add(time.Second)}, now)).NotTo(Succeed())
			g.Expect(client.Probe(dtstate.Probe{Address: address}).Result).To(Equal(dtstate.ProbeUnanswered))
		})
	}
}
