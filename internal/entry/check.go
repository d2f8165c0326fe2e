package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"wigeonmoor.example/internal/health"
	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// checkTimeout is how long an active check waits for a connection. Round trips between
// failure domains take up to 3 ms, and a balancer that has used up its CPU quota may be
// throttled for 100 ms.
const checkTimeout = 150 * time.Millisecond

// errRefused is the error of a connection attempt to a port on which nothing listens.
var errRefused = syscall.ECONNREFUSED

// checkAddress does an active check: it opens a TCP connection to a backend server and
// closes it.
func checkAddress(ctx context.Context, address netip.AddrPort) health.Result {
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return health.Answered
	case errors.Is(err, errRefused):
		return health.Refused
	}
	return health.Silent
}

// startCheck runs an active check in a new goroutine. If the server does not answer, peers
// are queried about it.
func (b *Balancer) startCheck(ctx context.Context, check tagged.Check) {
	go func() {
		result := checkAddress(ctx, check.Address)
		b.sendResets(b.core.HandleCheckResult(check.Backend, result, time.Now()))
		if result == health.Silent {
			b.enqueue(b.sendReachabilityQueries)
		}
	}()
}

// sendReachabilityQueries queries peers about the backend servers that do not answer this
// balancer.
func (b *Balancer) sendReachabilityQueries() {
	if queries := b.core.PopReachabilityQueries(); len(queries) > 0 {
		b.sendMessages(b.node.QueryReachability(queries))
	}
}

// answerReachabilityQuery answers a peer's query whether this balancer reaches some backend
// servers. Servers that have to be checked first are reported later, each in a report of its
// own.
func (b *Balancer) answerReachabilityQuery(ctx context.Context, from netip.AddrPort, tags []state.Tag, now time.Time) {
	report, checks := b.core.AnswerReachabilityQuery(tags, now)
	b.sendReachabilityReport(from, report)
	for _, check := range checks {
		go func() {
			report := b.core.HandlePeerCheckResult(check, checkAddress(ctx, check.Address), time.Now())
			b.enqueue(func() { b.sendReachabilityReport(from, report) })
		}()
	}
}

// sendReachabilityReport sends a report to a peer unless it is empty.
func (b *Balancer) sendReachabilityReport(to netip.AddrPort, report tagged.ReachabilityReport) {
	if len(report.Alive)+len(report.Silent) > 0 {
		b.sendMessages(b.node.ReportReachability(to, report))
	}
}
