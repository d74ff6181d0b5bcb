package dtwire_test

import (
	"bufio"
	"bytes"
	"net"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// sampleMessages returns a message of each kind with non-zero fields.
func sampleMessages() []dtstate.Message {
	member := dtstate.Member{ID: "r", Address: "a", OperatorsAddress: "o", Domain: "d", Region: "g", Start: 7, Refutations: 3, Status: 1, AtMs: 9}
	load := dtstate.ServerLoad{ServerHash: 11, InFlight: 1, Work: 2, Cap: 3, Flags: 1, Version: 5, Start: 6}
	refusal := dtstate.Refusal{Router: "r", Start: 1, Number: 2, AtMs: 3, Request: "q", Account: "c", Reason: 4, Ran: 1, RetryMs: 5}
	page := dtstate.RefusalPage{Router: "r", Start: 1, From: 2, Through: 2, Items: []dtstate.Refusal{refusal}}
	return []dtstate.Message{
		&dtstate.Heartbeat{Sequence: 1, ConfigVersion: 2, GossipHash: 3, DomainAges: []dtstate.DomainAge{{Domain: "d", AgeMs: 4}}, SilenceMs: 5, Reply: true, Ledger: dtstate.LedgerPosition{Start: 6, Number: 7}},
		&dtstate.JoinRequest{Self: member, FullSync: true},
		&dtstate.Gossip{Announcements: []dtstate.Announcement{{Member: &member}, {Crash: &dtstate.CrashRecord{Digest: 1, Server: "s", Cleared: true, AtMs: 2}}}},
		&dtstate.GossipSummary{Buckets: []uint64{1, 2}},
		&dtstate.GossipIndex{Buckets: []uint64{1}, Entries: []dtstate.GossipIndexEntry{{Identity: 1, Version: 2}}, Reply: true},
		&dtstate.PingRequest{Target: "t"},
		&dtstate.PingAck{Target: "t"},
		&dtstate.Loads{Servers: []dtstate.ServerLoad{load}},
		&dtstate.SlotRequest{EntryRouter: "e", Request: "q", Attempt: 1, Account: "c", Group: "g", Chat: 2, Digest: 3, Class: 1, Work: 4, RemainingMs: 5, Hops: 1, Crashes: 1, TriedServers: []dtstate.ServerID{"x"}, Loads: []dtstate.ServerLoad{load}},
		&dtstate.SlotQueued{Request: "q", Attempt: 1},
		&dtstate.SlotGrant{Request: "q", Attempt: 1, Server: "s"},
		&dtstate.SlotDenial{Request: "q", Attempt: 1, Reason: 2, RetryAfterMs: 3},
		&dtstate.SlotStarted{Request: "q", Attempt: 1, Server: "s", WaitMs: 2},
		&dtstate.SlotReleased{Request: "q", Attempt: 1, Server: "s", Outcome: 2},
		&dtstate.ServerVerdict{Request: "q", Attempt: 1, Crashed: true, Crashes: 2},
		&dtstate.SlotRenewal{Slots: []dtstate.Slot{{Request: "q", Attempt: 1, Server: "s", Account: "c", Work: 2, Digest: 3, Class: 1}}},
		&dtstate.ClaimRequest{EntryRouter: "e", Request: "q", Op: 1, Account: "c", Key: "k", KeyCreatedAtMs: 2, BodyHash: 3, Status: 200, Answer: []byte("a")},
		&dtstate.ClaimReply{Request: "q", Op: 1, Result: 2, Status: 200, Answer: []byte("a")},
		&dtstate.ModelMismatch{Server: "s", Model: "m"},
		&dtstate.RefusalReplica{Page: page},
		&dtstate.RefusalStored{Router: "r", Start: 1, From: 2, Through: 3},
	}
}

func TestEncodeDecode(t *testing.T) {
	g := NewWithT(t)
	for _, m := range sampleMessages() {
		body, err := dtwire.Encode(m)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := dtwire.Decode(body)
		g.Expect(err).NotTo(HaveOccurred(), "%T", m)
		g.Expect(reflect.DeepEqual(decoded, m)).To(BeTrue(), "%T: %+v", m, decoded)
	}
}

// TestDecodeMalformed checks that truncated and corrupted bodies never cause a panic.
func TestDecodeMalformed(t *testing.T) {
	messages := sampleMessages()
	rapid.Check(t, func(t *rapid.T) {
		body, err := dtwire.Encode(messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")])
		if err != nil {
			t.Fatal(err)
		}
		body = body[:rapid.IntRange(0, len(body)).Draw(t, "cut")]
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			if len(body) > 0 {
				body[rapid.IntRange(0, len(body)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		_, _ = dtwire.Decode(body)
	})
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		body, err := dtwire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) { _, _ = dtwire.Decode(body) })
}

func TestFrameSize(t *testing.T) {
	g := NewWithT(t)
	_, err := dtwire.ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})))
	g.Expect(err).To(MatchError(dtwire.ErrFrameSize))
	_, err = dtwire.ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0, 0, 0, 0})))
	g.Expect(err).To(MatchError(dtwire.ErrFrameSize))
	_, err = dtwire.ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0, 0, 0, 9, 1})))
	g.Expect(err).To(HaveOccurred())
}

// TestHandshake checks that one key in common is enough, as during key rotation.
func TestHandshake(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	cases := []struct {
		localKeys, remoteKeys []string
		ok                    bool
	}{
		{[]string{"key-number-one-0001"}, []string{"key-number-one-0001"}, true},
		{[]string{"key-number-two-0002", "key-number-one-0001"}, []string{"key-number-one-0001"}, true},
		{[]string{"key-number-one-0001"}, []string{"key-number-two-0002", "key-number-one-0001"}, true},
		{[]string{"key-number-one-0001"}, []string{"key-number-two-0002"}, false},
	}
	for _, c := range cases {
		result := make(chan error, 1)
		go func() {
			conn, err := ln.Accept()
			if err == nil {
				_, err = dtwire.Handshake(bufio.NewReader(conn), bufio.NewWriter(conn), "b", c.remoteKeys)
			}
			result <- err
		}()
		conn, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		peer, err := dtwire.Handshake(bufio.NewReader(conn), bufio.NewWriter(conn), "a", c.localKeys)
		_ = conn.Close()
		remoteErr := <-result
		if c.ok {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(remoteErr).NotTo(HaveOccurred())
			g.Expect(peer).To(Equal(dtstate.RouterID("b")))
			continue
		}
		g.Expect(err).To(MatchError(dtwire.ErrNoSharedKey))
		g.Expect(remoteErr).To(MatchError(dtwire.ErrNoSharedKey))
	}
}
