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

// checkLimit is the time in which a backend server's instance must accept a connection.
// Round trips are up to 3 ms between failure domains, and a balancer may stand still for a
// tenth of a second when its processor quota is used up.
const checkLimit = 150 * time.Millisecond

// errRefused is what a connection gets where nothing listens.
var errRefused = syscall.ECONNREFUSED

// dial opens a connection to a backend server to see whether it lives.
func dial(ctx context.Context, address netip.AddrPort) health.Result {
	dialer := net.Dialer{Timeout: checkLimit}
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

// startCheck checks a backend server that is suspected.
func (e *Entry) startCheck(ctx context.Context, check tagged.Check) {
	go func() {
		result := dial(ctx, check.Address)
		e.sendResets(e.core.HandleCheckResult(check.Backend, result, time.Now()))
		if result == health.Silent {
			e.do(e.inquire)
		}
	}()
}

// inquire asks other balancers about backend servers that are silent.
func (e *Entry) inquire() {
	if inquiries := e.core.PopReachabilityQueries(); len(inquiries) > 0 {
		e.send(e.node.Inquire(inquiries))
	}
}

// opine answers another balancer that asks whether backend servers are reached from here.
func (e *Entry) opine(ctx context.Context, from netip.AddrPort, tags []state.Tag, now time.Time) {
	opinion, checks := e.core.AnswerReachabilityQuery(tags, now)
	e.tell(from, opinion)
	for _, check := range checks {
		go func() {
			opinion := e.core.HandlePeerCheckResult(check, dial(ctx, check.Address), time.Now())
			e.do(func() { e.tell(from, opinion) })
		}()
	}
}

// tell sends an opinion, unless there is nothing in it.
func (e *Entry) tell(to netip.AddrPort, opinion tagged.ReachabilityReport) {
	if len(opinion.Alive)+len(opinion.Silent) > 0 {
		e.send(e.node.AnswerInquiry(to, opinion))
	}
}
