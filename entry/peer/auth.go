package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Each side proves that it knows the shared key by a MAC over the other side's
// nonce, its own, its name and its role. The role keeps a proof of one side
// from being sent back as the other's.
const (
	roleClient = "fuchsiaroad peer client"
	roleServer = "fuchsiaroad peer server"
)

// nonceBytes is the length of a nonce.
const nonceBytes = 32

// newNonce draws a nonce, in hex.
func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}

// proof is the MAC of one side, in hex. Lengths are written so that no two
// lists of fields give the same input.
func proof(key []byte, role, instance, theirNonce, ownNonce string) string {
	mac := hmac.New(sha256.New, key)
	for _, field := range []string{role, instance, theirNonce, ownNonce} {
		fmt.Fprintf(mac, "%d:%s", len(field), field)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// proves compares a proof in constant time.
func proves(got string, key []byte, role, instance, theirNonce, ownNonce string) bool {
	return hmac.Equal([]byte(got), []byte(proof(key, role, instance, theirNonce, ownNonce)))
}
