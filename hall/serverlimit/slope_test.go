package serverlimit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

// directPeer answers calls of the benchmark without a network.
type directPeer struct{ limiter *serverlimit.Limiter }

// Acquire implements serverlimit.Peer.
func (p directPeer) Acquire(_ context.Context, request *wire.AcquireRequest) (*wire.AcquireReply, error) {
	return p.limiter.Grant(request), nil
}

// Inform implements serverlimit.Peer.
func (p directPeer) Inform(_ context.Context, request *wire.InformRequest) (*wire.Empty, error) {
	p.limiter.Inform(request)
	return &wire.Empty{}, nil
}

// BenchmarkRequestsToLimitedServer measures the processor time of the permission for one
// request, at the hall that asks and the owner of the limit together, without the
// call itself.
func BenchmarkRequestsToLimitedServer(b *testing.B) {
	for _, count := range []int{4, 26, 510} {
		b.Run(fmt.Sprintf("halls=%d", count), func(b *testing.B) {
			var members []host.Member
			for index := range count {
				name := fmt.Sprintf("hall-%d", index)
				members = append(members, host.NewHall(name, "zone", name, 1))
			}
			halls := func() []host.Member { return members }
			owner := serverlimit.New("owner", halls, nil, serverlimit.NewTracker(zap.NewNop()), zap.NewNop())
			limiter := serverlimit.New("asking", halls, func(host.Member) serverlimit.Peer { return directPeer{limiter: owner} }, serverlimit.NewTracker(zap.NewNop()), zap.NewNop())
			now := time.Now()
			limiter.Tracker().Observe(now, serverID, serverlimit.NewObservation(serverlimit.Limited(5), now, now))
			for b.Loop() {
				_, _ = limiter.Acquire(b.Context(), serverID, time.Second) // Most are refused.
			}
		})
	}
}

// BenchmarkSpreadAdded measures the size of the message that tells another hall of limits,
// which each hall sends once a second, for each server in it.
func BenchmarkSpreadAdded(b *testing.B) {
	request := &wire.InformRequest{Hall: "hall-510", Observations: make(map[string]*wire.LimitObservation)}
	for index := range 32 {
		request.Observations[fmt.Sprintf("i-%010x", index)] = &wire.LimitObservation{
			Known: true, Limited: true, RequestsPerSecond: 5.5, SentAgoMicroseconds: 3_000_000, ReceivedAgoMicroseconds: 2_950_000,
		}
	}
	for b.Loop() {
		if _, err := proto.Marshal(request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(request))/32, "B/server")
}
