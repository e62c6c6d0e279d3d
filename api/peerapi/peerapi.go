// Package peerapi states the messages between entries: JSON-RPC 2.0 over TCP,
// authenticated by a challenge on a shared key when the connection opens.
package peerapi

// Methods.
const (
	MethodChallenge = "challenge" // no params -> Challenge
	MethodHello     = "hello"     // Hello -> Welcome
	MethodDigest    = "digest"    // Digest -> Digest: an exchange
	MethodDocument  = "document"  // DocumentRequest -> Document
	MethodSync      = "sync"      // SyncRequest -> SyncReply
	MethodOffer     = "offer"     // ForwardRequest -> OfferReply: nothing is run yet
	MethodRun       = "run"       // ForwardID -> ForwardReply: runs what was offered, once
	MethodRest      = "rest"      // ForwardID -> ForwardReply: what came since the last reply, when something has
	MethodCancel    = "cancel"    // ForwardID: the client has gone
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
	// DrainMarks lists leaves seen to be leaving, most recent first.
	DrainMarks []DrainMark `json:"leaving,omitempty"`
	// Quarantine lists quarantined fingerprints and suspects.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
	// Generations is a sample of other instances' generations in force.
	Generations []InstanceGeneration `json:"generations,omitempty"`
}

// DrainMark is one leaf's drain mark with the age of its last observation.
type DrainMark struct {
	Leaf string `json:"leaf"`
	// StartMillis is the start of the leaf that the mark is of, 0: not known.
	StartMillis int64 `json:"born,omitempty"`
	AgeMS       int64 `json:"age_ms"`
}

// QuarantineRecord is a fingerprint's record. The fingerprint is a keyed hash: it
// says nothing of the caller's request.
type QuarantineRecord struct {
	Fingerprint string `json:"fp"`
	// Level is the record's place on the ladder of kernel/quarantine: its remainder
	// by 3 says clear, suspect or in quarantine, and the greater level wins.
	Level       int   `json:"level"`
	RemainingMS int64 `json:"left_ms"`
}

// InstanceGeneration is one instance's generation, relayed.
type InstanceGeneration struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	AgeMS      int64  `json:"age_ms"`
}

// DocumentRequest asks for the document in force, if newer than Above.
type DocumentRequest struct {
	AboveGeneration uint64 `json:"above"`
}

// Document is a configuration document with its generation; empty if not newer.
type Document struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	TOML       []byte `json:"toml,omitempty"`
}

// SyncRequest asks what another instance knows of the platform's store, if it
// differs from what the asking one has.
type SyncRequest struct {
	// Version is the configuration in force, 0 for none.
	Version uint64 `json:"version"`
	// AcceptsChange says that the asking instance takes a change of that version.
	AcceptsChange bool `json:"changes,omitempty"`
	// LeavesHash is that of the list of leaves received last, 0 for none.
	LeavesHash uint64 `json:"hash"`
	// FleetHash is that of the list of instances in force, 0 for none.
	FleetHash uint64 `json:"fleet"`
	// AgeMS is the age of what the asking instance knows of configuration and leaves; -1
	// while it knows nothing.
	AgeMS int64 `json:"age_ms"`
	// Observations is what the asking instance, and those that asked it, saw of leaves.
	Observations []LeafObservation `json:"seen,omitempty"`
	// Quarantine lists quarantined fingerprints and suspects.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
}

// LeafObservation is one outcome at a leaf, or the report that a leaf is slow.
type LeafObservation struct {
	Leaf   string `json:"leaf"`
	TookMS int64  `json:"took_ms"`
	Slow   bool   `json:"slow,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// SyncReply is what an instance knows of the store. Packed JSON is compressed by gzip where
// it is long.
type SyncReply struct {
	Version uint64 `json:"version"`
	// ConfigAgeMS is how long ago the read of the configuration began that
	// showed this version to be the newest; -1 for never.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Config is the configuration as packed JSON, if its version is another than that
	// asked with and Change is not set.
	Config []byte `json:"config,omitempty"`
	// ConfigChange is what leads to the version from the one asked with, as packed JSON, and
	// ConfigHash the hash of the configuration that it leads to.
	ConfigChange []byte `json:"change,omitempty"`
	ConfigHash   uint64 `json:"config_hash,omitempty"`
	// Revision is the store's at the last read of the leaves.
	Revision uint64 `json:"revision"`
	// LeavesAgeMS is how long ago that read began; -1 for never.
	LeavesAgeMS int64 `json:"leaves_age_ms"`
	// LeavesHash is that of the leaves known, 0 before the first list.
	LeavesHash uint64 `json:"hash"`
	// Leaves is a list of leaves as packed JSON, if the hash is another than that
	// asked with: all of them, or those that differ from the list with the hash Base.
	Leaves []byte `json:"leaves,omitempty"`
	// BaseLeavesHash is the hash of the list that Leaves and Gone change; 0: Leaves is all.
	BaseLeavesHash uint64 `json:"base,omitempty"`
	// RemovedLeaves lists the IDs of leaves that the list with the hash Base has and that are no more.
	RemovedLeaves []string `json:"gone,omitempty"`
	// FleetHash is the hash of the instances known, 0 before the first list, and FleetAgeMS
	// how long ago the read of them began; -1 for never.
	FleetHash  uint64 `json:"fleet"`
	FleetAgeMS int64  `json:"fleet_age_ms"`
	// Instances is the list of instances as packed JSON, if its hash is another than that
	// asked with.
	Instances []byte `json:"instances,omitempty"`
	// SlowLeaves lists the leaves that are taken to be slow.
	SlowLeaves []LeafObservation `json:"slow,omitempty"`
	// Quarantine lists quarantined fingerprints and suspects.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
}

// ForwardID names a forwarded request on its connection.
type ForwardID struct {
	ID uint64 `json:"id"`
}

// ForwardRequest is a client's request that another instance is asked to run.
type ForwardRequest struct {
	ID uint64 `json:"id"`
	// Version is the configuration in force where it came in: an instance that
	// has an older one declines.
	Version uint64              `json:"version"`
	Request string              `json:"request"`
	Method  string              `json:"method"`
	Target  string              `json:"target"`
	Host    string              `json:"host"`
	Header  map[string][]string `json:"header"`
	Body    []byte              `json:"body,omitempty"`
	// ElapsedUS is the microseconds since the request came in, and LeftUS those
	// that are left of its time.
	ElapsedUS   int64 `json:"spent_us"`
	RemainingUS int64 `json:"left_us"`
	// ClientNetworkUS is the microseconds that the request and its answer spend between the
	// client and the instance that took it in.
	ClientNetworkUS int64 `json:"way_us"`
	// Gather, if it is set, asks for some shards only.
	Gather *GatherRequest `json:"gather,omitempty"`
}

// GatherRequest names the shards that are asked for.
type GatherRequest struct {
	Service string `json:"service"`
	// Upstream is named by the set of its shards.
	Upstream string `json:"upstream"`
	// TopK is how many records the answer has at most.
	TopK int `json:"top_k"`
	// Ranges are whole shards.
	Ranges []Range `json:"ranges"`
}

// Range is a key range, its end excluded.
type Range [2]uint64

// GatherResult is what came of a Gather since the last reply; the reply's body is merged
// of its parts.
type GatherResult struct {
	// Index is the index version of the parts.
	Index  uint64  `json:"index"`
	Ranges []Range `json:"ranges"`
	// Signatures are those of the parts, one a shard.
	Signatures []string `json:"signatures"`
	// MorePending says that more may come: MethodRest waits for it.
	MorePending bool `json:"going,omitempty"`
	// Sent, Hedges and Retries count the attempts at leaves.
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges,omitempty"`
	Retries int `json:"retries,omitempty"`
	// Refused says why nothing was run; empty where something was.
	Refused string `json:"refused,omitempty"`
}

// OfferReply says whether a request will be run when that is asked for.
type OfferReply struct {
	// Declined says why not; empty when it will.
	Declined string `json:"declined,omitempty"`
}

// ForwardReply is the answer to a request that was run.
type ForwardReply struct {
	// Version is the configuration by which it was run.
	Version uint64              `json:"version"`
	Status  int                 `json:"status"`
	Header  map[string][]string `json:"header"`
	Body    []byte              `json:"body"`
	// RunUS is the microseconds for which it ran.
	RunUS int64 `json:"run_us"`
	// Gathered tells of the parts, where the request had a Gather.
	Gathered *GatherResult `json:"gathered,omitempty"`
}
