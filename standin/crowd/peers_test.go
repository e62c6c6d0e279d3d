package crowd

import "testing"

// peerScripts are what clients send that are no instances: nothing, and long messages.
var peerScripts = map[string]Script{
	"silent":           {},
	"messages_held":    {Start: append([]byte{0, 0x1f, 0xff, 0xff}, make([]byte, 1<<20)...)},
	"messages_begun":   {Start: []byte{0, 0x1f, 0xff, 0xff, '{'}},
	"messages_endless": {Endless: append([]byte{0, 0x1f, 0xff, 0xff}, make([]byte, 0x1fffff)...)},
}

// TestCrowdAtPeers has a crowd come to the listener for other instances.
func TestCrowdAtPeers(t *testing.T) {
	for name, script := range peerScripts {
		t.Run(name, func(t *testing.T) {
			s := startSite(t)
			kind := Kind{Name: name, Script: func(Target) Script { return script }}
			besideAndAfter(t, Start(kind, Target{Address: s.peers}, crowdSize), s.isServed)
			s.check(testMemory, testDescriptors)
		})
	}
}
