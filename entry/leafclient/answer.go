package leafclient

import (
	"errors"
	"net/http"
	"slices"
)

// AnswerHead is what the head of a response states, in the words of no protocol.
type AnswerHead struct {
	Status int
	// RequestIDs are the IDs of the requests that it says it answers.
	RequestIDs []string
	// Signed says that it has the leaf's signature, and Encoded that its body is encoded.
	Signed, Encoded bool
	// NotRun says that the leaf did not run the request, and Misdirected that the leaf is not the
	// one that the request names.
	NotRun, Misdirected bool
}

// Verdict is what a complete response proves about its request.
type Verdict int

// The verdicts.
const (
	// Unusable: nothing; the request may have run.
	Unusable Verdict = iota
	// Answered: it is the leaf's answer, to be returned unchanged or merged with others.
	Answered
	// Failed: the leaf failed the request, which may have run.
	Failed
	// NotRun: the leaf did not run the request and never will.
	NotRun
	// Misdirected: the same, since another leaf has the address.
	Misdirected
)

// judge returns what a response proves that is complete and its request's own. A failure is no
// part of a merged answer. The reason is set for responses that are no answer.
func (h *AnswerHead) judge(merged bool) (Verdict, DiscardReason) {
	switch {
	case h.Misdirected:
		return Misdirected, ""
	case h.NotRun && h.Status >= http.StatusBadRequest:
		return NotRun, ""
	case h.NotRun:
		return Unusable, DiscardContradiction
	case h.Encoded:
		return Unusable, DiscardEncoded
	case h.Status < http.StatusMultipleChoices && !h.Signed:
		return Unusable, DiscardUnsigned
	case impliesNotRun(h.Status):
		return Unusable, DiscardNotRunStatus
	case h.Status >= http.StatusInternalServerError, merged && h.Status >= http.StatusMultipleChoices:
		return Failed, DiscardFailure
	default:
		return Answered, ""
	}
}

// impliesNotRun reports whether callers take a status to mean that the request did not run. Only
// AnswerHead.NotRun states that, so such a status is not returned without it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// maxRecentIDs is the number of request IDs that a connection remembers.
const maxRecentIDs = 8

// history is what a connection has carried before the current request.
type history struct {
	requests int
	recent   []string // the latest IDs, at most maxRecentIDs
	// unsolicited says that bytes arrived before anything was sent.
	unsolicited bool
}

// add records a request.
func (h *history) add(id string) {
	h.requests++
	if len(h.recent) == maxRecentIDs {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	h.recent = append(h.recent, id)
}

// carried reports whether the connection has carried a request with the ID lately: a response with
// that ID could answer either.
func (h *history) carried(id string) bool { return slices.Contains(h.recent, id) }

// origin is the request that a response answers.
type origin int

const (
	originUnknown origin = iota
	originOwn
	originEarlier // an earlier request of the connection; the own response may follow
)

// originOf returns which request a response answers that names the given IDs, where own is the ID of
// the request that waits for one. Without an ID, only the first response of a connection has a
// known origin. The reason is set unless it is the own request.
func (h *history) originOf(ids []string, own string) (origin, DiscardReason) {
	switch {
	case len(ids) == 0 && h.requests == 0 && !h.unsolicited:
		return originOwn, ""
	case len(ids) == 0:
		return originUnknown, DiscardUnproven
	case slices.ContainsFunc(ids, func(id string) bool { return id != ids[0] }):
		return originUnknown, DiscardOtherRequest
	case h.carried(ids[0]) && ids[0] != own:
		return originEarlier, DiscardOtherRequest
	case ids[0] != own:
		return originUnknown, DiscardOtherRequest
	case h.carried(own):
		return originUnknown, DiscardUnproven
	default:
		return originOwn, ""
	}
}

// errOrigin is the error of a response whose origin is not the request that waits for one.
var errOrigin = errors.New("the response is not proven to answer this request")

// receive reads the response to a request: complete, and proven to be its own. It skips interim
// responses and those to earlier requests of the connection. reusable reports whether the next
// response on the connection will have a known origin.
func (x *Exchanger) receive(c *socket, out *ExchangeRequest, wait waiter) (in *ExchangeResponse, reusable bool, err error) {
	skipped := false
	c.input.limit(maxHeadBytes, errHeadTooLong)
	for {
		resp, err := c.readHead(out.Method)
		if err != nil {
			return nil, false, err
		}
		head := out.ParseHead(resp)
		from, reason := c.history.originOf(head.RequestIDs, out.ID)
		if from == originUnknown {
			return nil, false, &discardError{reason, errOrigin}
		}
		c.input.limit(2*x.maxBody, errBodyTooLong) // twice, as the encoding of chunks adds bytes
		body, err := x.memory.readBody(resp, x.maxBody, wait)
		if err != nil {
			return nil, false, err
		}
		if from == originOwn {
			in := &ExchangeResponse{Status: resp.StatusCode, Header: resp.Header, Body: body, Closing: resp.Close}
			in.Verdict, in.Discarded = head.judge(out.Merged)
			return in, !skipped && !resp.Close && len(head.RequestIDs) > 0, nil
		}
		out.discard(reason)
		if resp.Close {
			return nil, false, &discardError{reason, errOrigin}
		}
		skipped = true
		c.input.limit(maxHeadBytes, errHeadTooLong)
	}
}
