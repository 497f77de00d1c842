package deployment_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	kernelnetwork "limpethall.dev/kernel/network"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
)

const benchTokens = 200

// newBenchDeployment starts a deployment over loopback whose engines respond
// without delay, and returns it with a key.
func newBenchDeployment(b *testing.B) (*deployment.Deployment, string) {
	b.Helper()
	options := deployment.DefaultOptions()
	options.Zones = []string{"a", "b", "c"}
	options.HallsPerZone = 1
	options.EnginesPerZone = 1
	options.ServicesPerZone = 1
	options.Log.Level = "error"
	options.Engine.StepBase = 0
	options.Engine.StepEach = 0
	options.Engine.PrefillRate = 1e12
	options.Engine.ColdLength = time.Millisecond
	options.Window = limpet.WindowSettings{Cold: 64, Warm: 64, WarmUp: settings.NewDuration(time.Millisecond)}
	options.Rows = []table.Row{table.NewRow("bench", 1, 1e6, 1e6, 1e9, nil)}
	d, err := deployment.New(options, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	ctx := context.Background()
	if err := d.Start(ctx); err != nil {
		b.Fatal(err)
	}
	key, err := d.CreateKey(ctx, "bench")
	if err != nil {
		b.Fatal(err)
	}
	if err := d.WaitRevision(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	b.Cleanup(func() { _ = d.Stop(ctx) })
	return d, key
}

// measureStream sends a streamed chat completion and returns the time to the
// first token and the mean time per further token.
func measureStream(b *testing.B, client *http.Client, address, key string) (firstToken, perToken time.Duration) {
	b.Helper()
	body := fmt.Sprintf(`{"model":"magnet","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"answer=%d"}]}`, benchTokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if firstToken == 0 && bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			firstToken = time.Since(start)
		}
	}
	return firstToken, (time.Since(start) - firstToken) / (benchTokens - 1)
}

// BenchmarkAddedLatency calls the same stand-in engine alternately directly and
// through hall and limpet, and reports the median times of both.
func BenchmarkAddedLatency(b *testing.B) {
	d, key := newBenchDeployment(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	targets := map[string]string{"direct": d.Engines()[0].Address(), "through": d.Halls()[0].Address()}
	firstTokenTimes, perTokenTimes := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for b.Loop() {
		for target, address := range targets {
			firstToken, perToken := measureStream(b, client, address, key)
			firstTokenTimes[target] = append(firstTokenTimes[target], firstToken)
			perTokenTimes[target] = append(perTokenTimes[target], perToken)
		}
	}
	for _, target := range []string{"direct", "through"} {
		b.ReportMetric(float64(median(firstTokenTimes[target]).Microseconds()), target+"-first-µs")
		b.ReportMetric(float64(median(perTokenTimes[target]).Nanoseconds())/1000, target+"-token-µs")
	}
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkRequests sends short chat completions from concurrent callers.
func BenchmarkRequests(b *testing.B) {
	d, key := newBenchDeployment(b)
	addresses := d.Addresses()
	client := caller.New(kernelnetwork.TCP{}, func() string { return addresses[0] }, key)
	body := []byte(`{"model":"magnet","messages":[{"role":"user","content":"answer=1"}]}`)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, err := client.Do(context.Background(), http.MethodPost, "/v1/chat/completions", nil, body); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSlopeBeat measures one heartbeat, which a hall sends to each limpet and each
// other hall; here another hall receives it.
func BenchmarkSlopeBeat(b *testing.B) {
	d, _ := newBenchDeployment(b)
	keyring, err := secret.New([]string{deployment.Secret})
	if err != nil {
		b.Fatal(err)
	}
	client := peer.NewClient(keyring, kernelnetwork.TCP{})
	hall := client.Hall(d.Halls()[0].PeerAddress())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := hall.Exchange(context.Background(), &wire.HallStatus{Hall: "bench", Zone: "a"}); err != nil {
			b.Fatal(err)
		}
	}
}
