package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Each side proves that it knows the shared key by a MAC over its role, its
// instance id, the other side's nonce and its own nonce. The role prevents
// reflection: the MAC of one side isn't valid as the other side's.
const (
	roleClient = "fuchsiaroad peer client"
	roleServer = "fuchsiaroad peer server"
)

// nonceBytes is the length of a nonce before hex encoding.
const nonceBytes = 32

// newNonce returns a random nonce in hex.
func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}

// computeMAC returns the MAC of one side in hex. Each field has its length as a
// prefix, so that different fields never give the same input.
func computeMAC(key []byte, role, instance, theirNonce, ownNonce string) string {
	mac := hmac.New(sha256.New, key)
	for _, field := range []string{role, instance, theirNonce, ownNonce} {
		fmt.Fprintf(mac, "%d:%s", len(field), field)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// verifyMAC reports whether got is the MAC of the other side. It compares in
// constant time.
func verifyMAC(got string, key []byte, role, instance, theirNonce, ownNonce string) bool {
	return hmac.Equal([]byte(got), []byte(computeMAC(key, role, instance, theirNonce, ownNonce)))
}
