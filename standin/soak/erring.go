package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// leafError turns a leaf's good answer to a request into one that errs.
type leafError func(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf)

// leafErrors are the faults of leaves that err, and the share of a leaf's answers that each spoils.
var leafErrors = []struct {
	name  string
	share float64
	err   leafError
}{
	{"leaf answers twice", 0.3, answerTwice},
	{"leaf omits length", 0.3, omitLength},
	{"leaf cuts answers", 0.2, cutAnswer},
	{"leaf sends wrong bytes", 0.2, sendWrongBytes},
	{"leaf sends endless bytes", 0.05, sendEndlessBytes},
	{"leaf fails requests", 0.4, failRequest},
	{"leaf answers early", 0.5, answerEarly},
	{"leaf omits request ids", 1, omitRequestID},
}

// erringShare is the share of the leaves of each service that err at once.
const erringShare = 0.4

// erringFaults returns the faults of leaves that err.
func erringFaults() (out []fault) {
	for _, e := range leafErrors {
		out = append(out, fault{e.name, func(r *run, random *rand.Rand, lasting time.Duration) error {
			r.erringLeaves(random, lasting, e.share, e.err)
			return nil
		}})
	}
	return out
}

// erringLeaves lets some leaves spoil a share of their answers for a time.
func (r *run) erringLeaves(random *rand.Rand, lasting time.Duration, share float64, err leafError) {
	var erring []*fakeLeaf
	for _, l := range r.site.runningLeaves() {
		if !strings.HasPrefix(l.service, "p") && random.Float64() < erringShare {
			l.setError(share, err)
			erring = append(erring, l)
		}
	}
	time.Sleep(lasting)
	for _, l := range erring {
		l.setError(0, nil)
	}
}

// setError sets how a leaf errs, and the share of its answers that it spoils.
func (f *fakeLeaf) setError(share float64, err leafError) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errShare, f.err = share, err
}

// spoil changes the answer to a request as the leaf errs.
func (f *fakeLeaf) spoil(request string, reply *rawleaf.Reply) {
	f.mu.Lock()
	share, err := f.errShare, f.err
	f.mu.Unlock()
	if err == nil || rand.Float64() >= share {
		return
	}
	err(rand.New(rand.NewPCG(rand.Uint64(), 0)), request, reply, f)
}

// failStatuses are those of failures of a leaf.
var failStatuses = []int{400, 403, 404, 409, 410, 422, 500, 501, 502}

// failure is a leaf's answer to a request that it ran and failed.
func failure(request, service, leaf string, status int) []byte {
	return rawleaf.Response(status, failureBody(request), hosted.HeaderRequest+": "+request, hosted.HeaderSignature+": "+signature(request, service, failureOf(leaf, status)))
}

// failureBody is the body of a failure. It has the size of records.
func failureBody(request string) string {
	return (strings.Repeat("zz failure of "+request+" ", 1+recordsEach))[:recordSize*recordsEach]
}

// failureMark is between the name of a leaf and a status in the signature of a failure.
const failureMark = "!"

// failureOf is what the signature of a failure names as its leaf.
func failureOf(leaf string, status int) string { return leaf + failureMark + strconv.Itoa(status) }

// statusOf returns the leaf that a signature names, and the status that it signed.
func statusOf(signed string) (leaf string, status int) {
	leaf, text, failed := strings.Cut(signed, failureMark)
	if !failed {
		return leaf, http.StatusOK
	}
	status, _ = strconv.Atoi(text) // a signature that was checked has a number
	return leaf, status
}

// withoutHeader removes a header from a response.
func withoutHeader(response []byte, name string) []byte {
	head, body, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	var out []byte
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		if !bytes.HasPrefix(line, []byte(name+":")) {
			out = append(append(out, line...), "\r\n"...)
		}
	}
	return append(append(out, "\r\n"...), body...)
}

// answerTwice lets another answer to the request follow when the next one has arrived.
func answerTwice(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf) {
	switch random.IntN(5) {
	case 0:
		good.Late = failure(request, f.service, f.id, http.StatusNotFound)
	case 1:
		good.Late = failure(request, f.service, f.id, http.StatusInternalServerError)
	case 2:
		good.Late = rawleaf.Response(http.StatusServiceUnavailable, "", hosted.HeaderNotRun+": 1", hosted.HeaderRequest+": "+request)
	default:
		good.Late = good.Bytes
	}
	if random.IntN(2) == 0 {
		good.Late = withoutHeader(good.Late, hosted.HeaderRequest)
	}
}

// omitLength ends a whole body with the connection.
func omitLength(_ *rand.Rand, _ string, good *rawleaf.Reply, _ *fakeLeaf) {
	good.Bytes, good.End = withoutHeader(good.Bytes, "Content-Length"), rawleaf.Close
}

// chunked returns the response with its body in one chunk, and without the last one.
func chunked(response []byte) []byte {
	head, body, _ := bytes.Cut(withoutHeader(response, "Content-Length"), []byte("\r\n\r\n"))
	return fmt.Appendf(nil, "%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
}

// cutAnswer cuts an answer so that it shows: before its length or its last chunk, or by a reset.
func cutAnswer(random *rand.Rand, _ string, good *rawleaf.Reply, _ *fakeLeaf) {
	good.End = []rawleaf.End{rawleaf.Close, rawleaf.Reset}[random.IntN(2)]
	switch random.IntN(4) {
	case 0:
		good.Bytes = chunked(good.Bytes)
	case 1:
		good.Bytes = withoutHeader(good.Bytes, "Content-Length")
		good.Bytes, good.End = good.Bytes[:len(good.Bytes)-random.IntN(recordSize)], rawleaf.Reset
	case 2:
		good.Bytes = good.Bytes[:random.IntN(bytes.Index(good.Bytes, []byte("\r\n\r\n")))]
	default:
		good.Bytes = good.Bytes[:len(good.Bytes)-1-random.IntN(recordSize*recordsEach)]
	}
}

// sendWrongBytes sends bytes that are no answer, in place of one or after it.
func sendWrongBytes(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf) {
	noise := []byte(records(request, f.service) + "\r\n\r\n")
	switch random.IntN(5) {
	case 0:
		good.Bytes = noise
	case 3:
		good.Bytes = append(bytes.Clone(good.Bytes), withoutHeader(good.Bytes, hosted.HeaderRequest)...)
	case 1:
		good.Bytes = append([]byte("HTTP/1.1 OK\r\n"), noise...)
	case 2:
		good.Bytes = append(bytes.Clone(good.Bytes), noise...)
	default:
		good.Late = noise
	}
}

// endlessPiece is the size of what is written at once of bytes without an end.
const endlessPiece = 64 << 10

// endlessLimit is for how long after its deadline a request may have its connection read.
const endlessLimit = time.Second

// sendEndlessBytes sends bytes without an end, in one of the places of a response.
func sendEndlessBytes(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf) {
	piece := strings.Repeat("x", endlessPiece)
	head, _, _ := bytes.Cut(withoutHeader(good.Bytes, "Content-Length"), []byte("\r\n\r\n"))
	begin := string(head) + "\r\n"
	switch random.IntN(7) {
	case 0:
		begin = ""
	case 1:
		begin += "X-Long: "
	case 2:
		begin, piece = "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", endlessPiece/28)
	case 3:
		piece = strings.Repeat("X-Many: "+strings.Repeat("y", 100)+"\r\n", endlessPiece/110)
	case 4:
		begin += "Transfer-Encoding: chunked\r\n\r\n"
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	case 5:
		begin += "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "
	default:
		begin += "\r\n"
	}
	good.Bytes, good.Endless = []byte(begin), []byte(piece)
	a := &endlessAnswer{request: request, leaf: f.id, begun: time.Now()}
	f.ledger.beginEndless(a)
	good.OnEnded = func(time.Duration) {
		f.ledger.endEndless(a)
		if a.isOverdue(time.Now()) {
			f.report(endlessFault, request, f.id)
		}
	}
}

// endlessFault is the fault of a connection that is not closed although its bytes have no end.
const endlessFault = "a leaf could send bytes without an end after the request's deadline"

// endlessAnswer is an answer without an end.
type endlessAnswer struct {
	request, leaf string
	begun         time.Time
}

// isOverdue reports whether the connection should have been closed by a time.
func (a *endlessAnswer) isOverdue(now time.Time) bool {
	return now.Sub(a.begun) > maxClientTime+endlessLimit
}

// beginEndless notes that an answer without an end is being sent.
func (l *ledger) beginEndless(a *endlessAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endless == nil {
		l.endless = make(map[*endlessAnswer]struct{})
	}
	l.endless[a] = struct{}{}
}

// endEndless notes that its connection has ended.
func (l *ledger) endEndless(a *endlessAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.endless, a)
}

// checkEndless checks that no answer without an end is still being sent.
func (r *run) checkEndless(now time.Time) {
	r.site.ledger.mu.Lock()
	defer r.site.ledger.mu.Unlock()
	for a := range r.site.ledger.endless {
		if a.isOverdue(now) {
			r.violation(endlessFault, a.request, a.leaf)
		}
	}
}

// failRequest runs a request and fails it.
func failRequest(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf) {
	good.Bytes = failure(request, f.service, f.id, failStatuses[random.IntN(len(failStatuses))])
}

// answerEarly answers before the request's body is read; some answers come again late.
func answerEarly(random *rand.Rand, request string, good *rawleaf.Reply, f *fakeLeaf) {
	good.Early = true
	if random.IntN(2) == 0 {
		answerTwice(random, request, good, f)
	}
}

// omitRequestID answers without the request's ID, as often as not late for a second time.
func omitRequestID(random *rand.Rand, _ string, good *rawleaf.Reply, _ *fakeLeaf) {
	good.Bytes = withoutHeader(good.Bytes, hosted.HeaderRequest)
	if random.IntN(2) == 0 {
		good.Late = good.Bytes
	}
}

// longBody is the body of a client's long request.
func longBody(request string) string {
	return strings.Repeat(request+"|", longBodyBytes/(len(request)+1))
}

// longBodyBytes is the size of a long body, over what goes out in one write.
const longBodyBytes = 40_000
