package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/briarlink/briarlink/internal/oai"
)

// BenchmarkStream sends one streamed request at a time of 50 tokens, to an engine
// directly and through a host, and reports the time to the first byte.
func BenchmarkStream(b *testing.B) {
	r := newRig(b, 1)
	defer r.stopAll()
	client := &http.Client{}
	targets := map[string]func() *http.Request{
		"direct": func() *http.Request {
			body := oai.Encode(oai.EngineRequest{Model: "m", Version: "v1", Prompt: "x", MaxTokens: 50, Stream: true, CacheSalt: "s", AttemptID: uuid.NewString()})
			return request(b, r.engines[0], "/v1/completions", body)
		},
		"routed": func() *http.Request {
			body := oai.Encode(oai.Request{Model: "m", Prompt: "x", MaxTokens: 50, Stream: true})
			return request(b, r.hosts[0].node.settings.Listen.Caller, "/v1/completions", body)
		},
	}
	for _, name := range []string{"direct", "routed"} {
		b.Run(name, func(b *testing.B) {
			first := hdrhistogram.New(1, 10_000_000, 3)
			for b.Loop() {
				started := time.Now()
				resp, err := client.Do(targets[name]())
				if err != nil {
					b.Fatal(err)
				}
				buf := make([]byte, 1)
				_, _ = io.ReadFull(resp.Body, buf)
				_ = first.RecordValue(time.Since(started).Microseconds())
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			b.ReportMetric(float64(first.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(first.ValueAtQuantile(99)), "p99-us")
		})
	}
}

func request(b *testing.B, address, path string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return req
}

// BenchmarkTokens keeps 200 streams open through one host; engines send as fast
// as they can sleep. The metric is tokens a second, stand-ins and callers included.
func BenchmarkTokens(b *testing.B) {
	r := newRig(b, 1)
	defer r.stopAll()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	address := r.hosts[0].node.settings.Listen.Caller
	const tokens = 100
	b.SetParallelism(25)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			resp, err := client.Do(request(b, address, "/v1/completions", oai.Encode(oai.Request{Model: "m", Prompt: "x", MaxTokens: tokens, Stream: true})))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}
