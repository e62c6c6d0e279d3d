// Package platformapi defines the part of the platform's protocol that this project
// uses: an object API with versions, conditional updates and watches, and the list of
// instances, all HTTP/JSON with a bearer token.
//
//	GET    /v1/objects/{kind}/{name}              -> Object, 404
//	PUT    /v1/objects/{kind}/{name}?if_version=N -> Object (value empty), 409 Conflict
//	DELETE /v1/objects/{kind}/{name}?if_version=N -> 204, 409 Conflict
//	GET    /v1/objects/{kind}                     -> List
//	GET    /v1/watch/{kind}?since=R&wait_ms=T     -> Events; 410 if R is too old: list again
//	GET    /v1/instances                          -> Instances
//
// if_version=0 creates an object. A version is unique within the store and increases
// with each write. 429 means that the rate limit is exceeded, 503 an outage; both may
// carry Retry-After.
package platformapi

// Paths of the platform.
const (
	PathObjects   = "/v1/objects"
	PathWatch     = "/v1/watch"
	PathInstances = "/v1/instances"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// Kinds of objects that fuchsiaroad keeps.
const (
	KindConfig = "fuchsiaroad-config" // one object, NameConfig
	KindLedger = "fuchsiaroad-ledger" // one object per bucket of the ledger
	NameConfig = "current"
)

// Object is a stored value with its version.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"` // base64 in JSON
}

// List is all objects of a kind, with the store revision from which to watch.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Event is one change seen by a watch.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Events is the response to a watch; it has no events if the wait time passed without any.
type Events struct {
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}

// Conflict is the body of a 409: the object as it stands now, without its value.
type Conflict struct {
	Version uint64 `json:"version"`
}

// InstanceState is the state of an instance as the platform reports it, with a delay.
type InstanceState string

// The states of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Roles of an instance.
const (
	RoleEntry = "entry"
	RoleLeaf  = "leaf"
)

// Instance is one entry or leaf process in the platform's list.
type Instance struct {
	ID          string        `json:"id"`
	Role        string        `json:"role"`
	Zone        string        `json:"zone"`
	Address     string        `json:"address"`                // callers' address of an entry, or a leaf's
	PeerAddress string        `json:"peer_address,omitempty"` // entries only
	State       InstanceState `json:"state"`
}

// Instances is the list of live and leaving instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}
