// Package peerapi states the messages between entries: JSON-RPC 2.0 over TCP,
// authenticated by a challenge on a shared key when the connection opens.
package peerapi

// Methods.
const (
	MethodChallenge = "challenge" // no params -> Challenge
	MethodHello     = "hello"     // Hello -> Welcome
	MethodDigest    = "digest"    // Digest -> Digest: an exchange
	MethodDocument  = "document"  // DocumentRequest -> Document
)

// Challenge is a server's random nonce, hex.
type Challenge struct {
	Nonce string `json:"nonce"`
}

// Hello proves the client: MAC is hex HMAC-SHA256(key, nonce | instance), and
// Nonce is the client's own challenge to the server.
type Hello struct {
	Instance string `json:"instance"`
	MAC      string `json:"mac"`
	Nonce    string `json:"nonce"`
}

// Welcome proves the server in turn.
type Welcome struct {
	Instance string `json:"instance"`
	MAC      string `json:"mac"`
}

// Digest is what an entry tells each second. Its size is bounded by limits on
// its lists, not by the size of the fleet.
type Digest struct {
	Instance   string `json:"instance"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	Draining   bool   `json:"draining,omitempty"`
	// Leaving lists leaves seen to be leaving, most recent first.
	Leaving []LeavingLeaf `json:"leaving,omitempty"`
	// Quarantine lists quarantined fingerprints and suspects.
	Quarantine []Quarantined `json:"quarantine,omitempty"`
	// Generations is a sample of other instances' generations in force.
	Generations []InstanceGeneration `json:"generations,omitempty"`
}

// LeavingLeaf is one leaf's drain mark with the age of its sighting.
type LeavingLeaf struct {
	Leaf  string `json:"leaf"`
	AgeMS int64  `json:"age_ms"`
}

// Quarantined is a fingerprint's record. The fingerprint is a keyed hash: it
// says nothing of the caller's request.
type Quarantined struct {
	Fingerprint string `json:"fp"`
	// Level is the record's place on the ladder of kernel/quarantine: its remainder
	// by 3 says clear, suspect or in quarantine, and the greater level wins.
	Level  int   `json:"level"`
	LeftMS int64 `json:"left_ms"`
}

// InstanceGeneration is one instance's generation, relayed.
type InstanceGeneration struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	AgeMS      int64  `json:"age_ms"`
}

// DocumentRequest asks for the document in force, if newer than Above.
type DocumentRequest struct {
	Above uint64 `json:"above"`
}

// Document is a configuration document with its generation; empty if not newer.
type Document struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	TOML       []byte `json:"toml,omitempty"`
}
