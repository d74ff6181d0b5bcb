package dtwire

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// ProtocolVersion is the version of the protocol between routers.
const ProtocolVersion = 1

// nonceBytes is the size of the nonce that each end generates.
const nonceBytes = 16

// Errors returned by Handshake.
var (
	ErrVersionMismatch = errors.New("protocol version mismatch")
	ErrNoSharedKey     = errors.New("peer does not hold a shared key")
)

// Hello is the first frame that each end sends.
type Hello struct {
	Version int
	Router  dtstate.RouterID
	Nonce   []byte
}

// Handshake authenticates a new connection with the shared keys and returns the peer's router
// ID; it fails with ErrVersionMismatch or ErrNoSharedKey if the peer is rejected.
func Handshake(r *bufio.Reader, w *bufio.Writer, self dtstate.RouterID, keys []string) (dtstate.RouterID, error) {
	local := Hello{Version: ProtocolVersion, Router: self, Nonce: make([]byte, nonceBytes)}
	if _, err := io.ReadFull(rand.Reader, local.Nonce); err != nil {
		return "", err
	}
	if err := writeValue(w, &local); err != nil {
		return "", err
	}
	var remote Hello
	if err := readValue(r, &remote); err != nil {
		return "", err
	}
	if remote.Version != ProtocolVersion {
		return "", fmt.Errorf("%w: peer has version %d", ErrVersionMismatch, remote.Version)
	}
	// Each end proves every key that it holds and accepts the peer if any proof matches one of
	// its own keys, so that keys can be rotated without interruption.
	proofs := make([][]byte, len(keys))
	for i, k := range keys {
		proofs[i] = computeProof(k, &local, &remote)
	}
	if err := writeValue(w, proofs); err != nil {
		return "", err
	}
	var remoteProofs [][]byte
	if err := readValue(r, &remoteProofs); err != nil {
		return "", err
	}
	if !verifyProofs(keys, remoteProofs, &remote, &local) {
		return "", ErrNoSharedKey
	}
	return remote.Router, nil
}

// computeProof returns the HMAC under key of both nonces and the prover's router ID.
func computeProof(key string, prover, verifier *Hello) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(prover.Nonce)
	mac.Write(verifier.Nonce)
	mac.Write([]byte(prover.Router))
	return mac.Sum(nil)
}

// verifyProofs reports whether any of the proofs was made with any of the keys. It
// checks every pair, so that its duration does not depend on which one matches.
func verifyProofs(keys []string, proofs [][]byte, prover, verifier *Hello) bool {
	ok := false
	for _, k := range keys {
		expected := computeProof(k, prover, verifier)
		for _, p := range proofs {
			ok = hmac.Equal(expected, p) || ok
		}
	}
	return ok
}

func writeValue(w *bufio.Writer, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	if err := WriteFrame(w, body); err != nil {
		return err
	}
	return w.Flush()
}

func readValue(r *bufio.Reader, v any) error {
	body, err := ReadFrame(r)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body, v)
}
