package console_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/console"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// accepting is a control that takes every save and keeps none, so that only
// the console's own work is measured.
type accepting struct{ *operatorstest.Control }

func (accepting) Submit(context.Context, operators.Submission) operators.Outcome {
	return operators.Outcome{State: operators.Accepted, Generation: generation + 1}
}

// largestShards makes a document near the largest allowed.
const largestShards = 3500

// sized is a document of one upstream of so many shards with two leaves each.
func sized(shards int) *document.Document {
	return samples.Generate(samples.Sizes{
		Site: "sized", Zones: []string{"a", "b", "c"}, BasePort: 1024,
		Upstreams: []samples.UpstreamSizes{{Name: "wide", Shards: shards, Replicas: 2, Slots: 2, ConnectionLimit: 25}},
		Callers:   []document.Caller{{Name: "operator", TokenSHA256: samples.TokenSHA256("operator"), Share: 1, Operator: true}},
	})
}

// sizes are the documents measured: a site of today, and one near the largest
// that a document may be.
func sizes() map[string]*document.Document {
	return map[string]*document.Document{"recife": samples.Recife(samples.RecifeBasePort), "largest": sized(largestShards)}
}

// benchmarkForm measures requests to the widest upstream's form.
func benchmarkForm(b *testing.B, method string, status int) {
	for name, d := range sizes() {
		b.Run(name, func(b *testing.B) {
			if err := codec.Validate(d); err != nil {
				b.Fatal(err)
			}
			e := newEntry(b, operatorstest.New(generation, d), "key", false)
			e.serve(b, accepting{e.control})
			br := signedIn(b, e)
			path := console.Root + "upstream/edit/" + widest(d)
			br.get(path)
			form := formValues(br.form())
			pageBytes := br.last.Body.Len()
			for b.Loop() {
				if rec := br.exchange(method, path, form); rec.Code != status {
					b.Fatal(rec.Code)
				}
			}
			b.ReportMetric(float64(len(codec.Format(d))), "document-bytes")
			b.ReportMetric(float64(pageBytes), "page-bytes")
		})
	}
}

// widest is the upstream with the most shards.
func widest(d *document.Document) string {
	most := d.Upstreams[0]
	for _, u := range d.Upstreams {
		if len(u.Shards) > len(most.Shards) {
			most = u
		}
	}
	return most.Name
}

func BenchmarkOpenForm(b *testing.B) { benchmarkForm(b, http.MethodGet, http.StatusOK) }

func BenchmarkSaveForm(b *testing.B) { benchmarkForm(b, http.MethodPost, http.StatusSeeOther) }
