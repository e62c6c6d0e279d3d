// Package ingress bounds what clients send and hold. A Guard admits their connections and accounts
// for the memory of their requests, in sum over all connections. A Conn finds where each request
// begins and ends, and enforces the limits on its head before the HTTP server sees a byte of it.
//
// When a bound is reached, connections that make the least progress end first: idle ones, and then
// those whose request has been arriving for the longest time. A request that is complete is never
// ended.
package ingress
