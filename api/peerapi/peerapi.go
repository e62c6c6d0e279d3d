// Package peerapi defines the messages between entries, the project's query servers:
// JSON-RPC 2.0 over TCP. Both sides prove that they know a shared key, by challenge and
// response, when a connection opens.
package peerapi

// Methods.
const (
	MethodChallenge = "challenge" // no params -> Challenge
	MethodHello     = "hello"     // Hello -> Welcome
	MethodDigest    = "digest"    // Digest -> Digest: an exchange of gossip digests
	MethodDocument  = "document"  // DocumentRequest -> Document
	MethodSync      = "sync"      // SyncRequest -> SyncReply
	MethodOffer     = "offer"     // ForwardRequest -> OfferReply: does not run the request
	MethodRun       = "run"       // ForwardID -> ForwardReply: runs the offered request, once
	MethodRest      = "rest"      // ForwardID -> ForwardReply: waits for results after the last reply and returns them
	MethodCancel    = "cancel"    // ForwardID: the client has disconnected
)

// Challenge is a server's random nonce, hex.
type Challenge struct {
	Nonce string `json:"nonce"`
}

// Hello proves that the client knows the key: MAC is hex HMAC-SHA256(key, nonce | instance), and
// Nonce is the client's own challenge to the server.
type Hello struct {
	Instance string `json:"instance"`
	MAC      string `json:"mac"`
	Nonce    string `json:"nonce"`
}

// Welcome proves that the server knows the key, by a MAC over the nonce of Hello.
type Welcome struct {
	Instance string `json:"instance"`
	MAC      string `json:"mac"`
}

// Digest is the gossip digest that an entry sends each second. Limits on its lists bound
// its size, whatever the number of instances.
type Digest struct {
	Instance   string `json:"instance"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	Draining   bool   `json:"draining,omitempty"`
	// DrainMarks lists the leaves that were observed to drain, most recent first.
	DrainMarks []DrainMark `json:"leaving,omitempty"`
	// Quarantine lists the records of quarantined and suspected fingerprints.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
	// Generations is a sample of other instances' generations in force.
	Generations []InstanceGeneration `json:"generations,omitempty"`
}

// DrainMark states that a leaf drains, with the age of the last observation of it.
type DrainMark struct {
	Leaf string `json:"leaf"`
	// StartMillis is the leaf's start time in Unix milliseconds, which tells its restarts
	// apart; 0: not known.
	StartMillis int64 `json:"born,omitempty"`
	AgeMS       int64 `json:"age_ms"`
}

// QuarantineRecord is the quarantine state of a request fingerprint. The fingerprint is a
// keyed hash: it reveals nothing about the request.
type QuarantineRecord struct {
	Fingerprint string `json:"fp"`
	// Level is the record's level as defined by kernel/quarantine: its remainder modulo 3
	// is clear, suspect or in quarantine. Of two records the greater level applies.
	Level int `json:"level"`
	// Probes counts the runs alone on a leaf since the request last ran to completion.
	Probes      int   `json:"probes,omitempty"`
	RemainingMS int64 `json:"left_ms"`
}

// RequestLosses are the leaves that were lost under a request which has not run to
// completion since.
type RequestLosses struct {
	Fingerprint string `json:"fp"`
	// Threshold is the number of losses from which the request is suspected.
	Threshold int        `json:"threshold,omitempty"`
	Lost      []LostLeaf `json:"lost,omitempty"`
	// ClearedAgeMS is the time since the request last ran to completion or was last
	// suspected; -1 if neither is known.
	ClearedAgeMS int64 `json:"cleared_ms"`
}

// LostLeaf is the loss of a leaf. Number tells several losses of a leaf ID apart.
type LostLeaf struct {
	Leaf   string `json:"leaf"`
	Number int    `json:"number,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// InstanceGeneration is another instance's configuration generation, relayed by gossip.
type InstanceGeneration struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	AgeMS      int64  `json:"age_ms"`
}

// DocumentRequest asks for the document in force if it is newer than AboveGeneration.
type DocumentRequest struct {
	AboveGeneration uint64 `json:"above"`
}

// Document is a configuration document with its generation; empty if not newer.
type Document struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	TOML       []byte `json:"toml,omitempty"`
}

// SyncRequest asks another instance for its state of the platform's store, as far as it
// differs from that of the requesting instance.
type SyncRequest struct {
	// Version is that of the configuration in force, 0 for none.
	Version uint64 `json:"version"`
	// AcceptsChange is true if the requesting instance can apply a change from that version.
	AcceptsChange bool `json:"changes,omitempty"`
	// LeavesHash is the hash of the list of leaves received last, 0 for none.
	LeavesHash uint64 `json:"hash"`
	// FleetHash is the hash of the list of instances in force, 0 for none.
	FleetHash uint64 `json:"fleet"`
	// AgeMS is the age of the requesting instance's configuration and list of leaves; -1
	// if it has none.
	AgeMS int64 `json:"age_ms"`
	// Observations are those of the requesting instance and of the instances that sent it
	// requests.
	Observations []LeafObservation `json:"seen,omitempty"`
	// Quarantine lists the records of fingerprints that changed of late, and Losses the
	// losses of requests that did.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
	Losses     []RequestLosses    `json:"losses,omitempty"`
	// WholeQuarantine asks for all records and losses, not only for those that changed of
	// late.
	WholeQuarantine bool `json:"whole_quarantine,omitempty"`
}

// LeafObservation is the duration of one request at a leaf, or the report that a leaf is slow.
type LeafObservation struct {
	Leaf   string `json:"leaf"`
	TookMS int64  `json:"took_ms"`
	Slow   bool   `json:"slow,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// SyncReply is an instance's state of the store. Packed JSON is JSON that is compressed by
// gzip if it is long.
type SyncReply struct {
	Version uint64 `json:"version"`
	// ConfigAgeMS is the time since the start of the store read that last showed this
	// version to be the newest; -1 for never.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Config is the configuration as packed JSON, if its version differs from the
	// request's and ConfigChange is not set.
	Config []byte `json:"config,omitempty"`
	// ConfigChange is the change from the request's version to this one, as packed JSON,
	// and ConfigHash the hash of the resulting configuration.
	ConfigChange []byte `json:"change,omitempty"`
	ConfigHash   uint64 `json:"config_hash,omitempty"`
	// StoreAnswerMS is the longest time, in milliseconds, that an answer of the store has taken of
	// late, as far as the sender or the peer that it syncs from knows; 0: at once, or unknown.
	StoreAnswerMS int64 `json:"store_answer_ms,omitempty"`
	// Era and Revision are the store's at the last read of the leaves.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// LeavesAgeMS is the time since the start of that read; -1 for never.
	LeavesAgeMS int64 `json:"leaves_age_ms"`
	// LeavesHash is the hash of the known leaves, 0 before the first list.
	LeavesHash uint64 `json:"hash"`
	// Leaves is a list of leaves as packed JSON, if LeavesHash differs from the request's:
	// all of them, or those that differ from the list with the hash BaseLeavesHash.
	Leaves []byte `json:"leaves,omitempty"`
	// BaseLeavesHash is the hash of the list to which Leaves and RemovedLeaves are the
	// changes; 0: Leaves lists all leaves.
	BaseLeavesHash uint64 `json:"base,omitempty"`
	// RemovedLeaves are the IDs of leaves that were removed since the list with the hash
	// BaseLeavesHash.
	RemovedLeaves []string `json:"gone,omitempty"`
	// FleetHash is the hash of the known instances, 0 before the first list, and FleetAgeMS
	// the time since the start of the read of them; -1 for never.
	FleetHash  uint64 `json:"fleet"`
	FleetAgeMS int64  `json:"fleet_age_ms"`
	// Instances is the list of instances as packed JSON, if FleetHash differs from the
	// request's.
	Instances []byte `json:"instances,omitempty"`
	// SlowLeaves lists the leaves that the replying instance treats as slow.
	SlowLeaves []LeafObservation `json:"slow,omitempty"`
	// Quarantine and Losses are as in the request.
	Quarantine []QuarantineRecord `json:"quarantine,omitempty"`
	Losses     []RequestLosses    `json:"losses,omitempty"`
}

// ForwardID names a forwarded request on its connection.
type ForwardID struct {
	ID uint64 `json:"id"`
}

// ForwardRequest is a client's request that another instance is asked to run.
type ForwardRequest struct {
	ID uint64 `json:"id"`
	// Version is that of the configuration in force at the receiving instance of the
	// client's request. An instance with an older one declines.
	Version uint64              `json:"version"`
	Request string              `json:"request"`
	Method  string              `json:"method"`
	Target  string              `json:"target"`
	Host    string              `json:"host"`
	Header  map[string][]string `json:"header"`
	Body    []byte              `json:"body,omitempty"`
	// ElapsedUS is the time since the client's request arrived, and RemainingUS the time
	// until its deadline, in microseconds.
	ElapsedUS   int64 `json:"spent_us"`
	RemainingUS int64 `json:"left_us"`
	// ClientNetworkUS is the network time of the request and its answer between the client
	// and the instance that received it, in microseconds.
	ClientNetworkUS int64 `json:"way_us"`
	// Gather, if it is set, limits the request to some shards.
	Gather *GatherRequest `json:"gather,omitempty"`
}

// GatherRequest names the shards to query.
type GatherRequest struct {
	Service string `json:"service"`
	// Upstream is a name that identifies the set of shards.
	Upstream string `json:"upstream"`
	// TopK is the maximum number of records in the answer.
	TopK int `json:"top_k"`
	// Ranges are whole shards.
	Ranges []Range `json:"ranges"`
}

// Range is a key range, its end excluded.
type Range [2]uint64

// GatherResult is the result of a GatherRequest since the last reply; the reply's body is
// merged from the parts of these shards.
type GatherResult struct {
	// Index is the index version of the parts.
	Index  uint64  `json:"index"`
	Ranges []Range `json:"ranges"`
	// Signatures are the leaves' signatures of the parts, one per shard.
	Signatures []string `json:"signatures"`
	// MorePending is true if further parts may follow: MethodRest waits for them.
	MorePending bool `json:"going,omitempty"`
	// Sent, Hedges and Retries count the attempts at leaves.
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges,omitempty"`
	Retries int `json:"retries,omitempty"`
	// Refused is the reason why nothing was run; empty if something was.
	Refused string `json:"refused,omitempty"`
}

// OfferReply states whether an offered request will be run on MethodRun.
type OfferReply struct {
	// Declined is the reason why it will not; empty if it will.
	Declined string `json:"declined,omitempty"`
}

// ForwardReply is the reply to a request that was run.
type ForwardReply struct {
	// Version is that of the configuration with which the request was run.
	Version uint64              `json:"version"`
	Status  int                 `json:"status"`
	Header  map[string][]string `json:"header"`
	Body    []byte              `json:"body"`
	// RunUS is the time for which the request ran, in microseconds.
	RunUS int64 `json:"run_us"`
	// Gathered is the result of the request's Gather; nil if it had none.
	Gathered *GatherResult `json:"gathered,omitempty"`
}
