package emul

import (
	"fmt"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
)

// Server is a backend server.
type Server struct {
	deployment *Deployment
	backend    state.Backend
	service    *Service
	// stopped is set if the server process has ended. Its instance then refuses
	// connections or, if silent is set, does not answer at all.
	silent, stopped bool
	// leftAt is the time at which the store published that the server is draining or
	// removed, zero before.
	leftAt time.Time
	// busySlots is the number of requests in progress, queue holds those that wait.
	busySlots int
	queue     []job
	// lostShare is the share of its requests that the server accepts and never answers, and
	// slowness the factor by which it is slower than usual. Its health checks succeed.
	lostShare, slowness float64
	// flows holds the open flows.
	flows map[*flow]bool
	// recentFlows holds the times of the new flows of the last second, while the server's rate is
	// limited.
	recentFlows []time.Time
	// EstablishedFlows counts the flows whose handshake was completed with this server.
	EstablishedFlows int
}

// job is a request that waits for a slot or occupies one.
type job struct {
	flow    *flow
	request request
}

// request is the request that a packet carries. It is zero if the packet has none. Requests
// are numbered from 1 within a flow.
type request struct {
	number   int
	workTime time.Duration
}

// AddServer starts a backend server and publishes it.
func (d *Deployment) AddServer(service, domain string) *Server {
	s := &Server{deployment: d, flows: make(map[*flow]bool)}
	for index := range d.config.Services {
		if d.config.Services[index].Name == service {
			s.service = &d.config.Services[index]
		}
	}
	number := len(d.Servers) + 1
	s.backend = state.Backend{
		Name: fmt.Sprintf("i-%04x", number), ID: state.BackendID(number), Service: service, Domain: domain,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)}), 80),
		Slots:   s.service.Slots,
		State:   state.Serving,
		Started: time.Now().UnixMilli(),
	}
	if d.configuration != nil && s.service.ColdRate > 0 {
		// The servers of the start of a deployment are warm.
		s.backend.ColdUntil = time.Now().Add(s.service.ColdStart)
	}
	d.Servers = append(d.Servers, s)
	s.publish()
	return s
}

// publish publishes the server's current entry.
func (s *Server) publish() {
	s.deployment.revision++
	s.backend.Revision = s.deployment.revision
	s.deployment.publish(state.Delta{Backends: []state.Backend{s.backend}})
}

// Drain publishes that the server is draining. The server stops when all its flows are
// closed, but not before minDelay has passed.
func (s *Server) Drain(minDelay time.Duration) {
	s.backend.State = state.Draining
	s.leftAt = time.Now()
	s.publish()
	s.deployment.after(minDelay, s.stopWhenDrained)
}

// stopWhenDrained stops the server and removes its entry once no flows are open.
func (s *Server) stopWhenDrained() {
	if len(s.flows) > 0 {
		s.deployment.after(100*time.Millisecond, s.stopWhenDrained)
		return
	}
	s.stopped = true
	s.removeFromStore()
}

// removeFromStore removes the server's entry from the store.
func (s *Server) removeFromStore() {
	s.deployment.revision++
	s.deployment.publish(state.Delta{Removed: map[string]state.Revision{s.backend.Name: s.deployment.revision}})
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
}

// expireCopiedEntry removes the entry of a stopped server that a restored store contains.
func (s *Server) expireCopiedEntry() {
	for _, entry := range s.deployment.store.Table().Entries() {
		if entry.Name == s.backend.Name && entry.Published() {
			s.removeFromStore()
		}
	}
}

// Crash stops the server without notice. If silent is set, its instance fails as well and
// answers nothing. The server's entry in the store expires after expiryDelay, as it is no
// longer renewed by heartbeats.
func (s *Server) Crash(silent bool, expiryDelay time.Duration) {
	s.stopped, s.silent = true, silent
	s.flows = make(map[*flow]bool)
	s.queue = nil
	s.deployment.after(expiryDelay, s.removeFromStore)
}

// SetFault makes the server lose a share of its requests, or serve them more slowly by a factor,
// while its health checks succeed. 0 and 1 end the fault.
func (s *Server) SetFault(lostShare, slowness float64) { s.lostShare, s.slowness = lostShare, slowness }

// ExpireEntry removes the server's entry from the store, as if its heartbeats were lost.
// The server continues to run.
func (s *Server) ExpireEntry() { s.removeFromStore() }

// OpenFlows returns the number of open flows.
func (s *Server) OpenFlows() int { return len(s.flows) }

// handlePacket handles a packet that a balancer has forwarded. It records a violation if
// the flow belongs to another service.
func (s *Server) handlePacket(b *Balancer, f *flow, packet tagged.Packet, verdict tagged.Verdict, req request) {
	if s.silent || verdict.ID != s.backend.ID {
		return
	}
	if f.class.Service != s.backend.Service {
		s.deployment.addViolation("%s of service %s received a packet of route %s", s.backend.Name, s.backend.Service, f.class.Name)
	}
	switch {
	case packet.First:
		s.acceptFlow(b, f, verdict.Tag)
	case s.stopped || f.server != s && !s.flows[f]:
		s.sendToCaller(func() { f.handleReset(s) })
	case packet.Last:
		delete(s.flows, f)
	default:
		s.acceptRequest(f, req)
	}
}

// sendToCaller sends a packet directly to the caller, not through a balancer.
func (s *Server) sendToCaller(deliver func()) { s.deployment.deliverCallerPacket(deliver) }

// acceptFlow answers the first packet of a flow, with a reset if the server has stopped. It
// records a violation if the propagation limits apply and were exceeded: the flow was created
// too long after the server left or the route was dropped.
func (s *Server) acceptFlow(b *Balancer, f *flow, tag state.Tag) {
	if s.stopped {
		s.sendToCaller(func() { f.handleReset(s) })
		return
	}
	if !s.leftAt.IsZero() && s.deployment.limitsApply(b) && f.createdAt.After(s.leftAt.Add(drainPropagationLimit)) {
		s.deployment.addViolation("%s received a new flow %s after it had left", s.backend.Name, f.createdAt.Sub(s.leftAt))
	}
	if at, ok := s.deployment.droppedRoutes[f.class.Name]; ok && s.deployment.limitsApply(b) && f.createdAt.After(at.Add(configPropagationLimit)) {
		s.deployment.addViolation("route %s accepted a new flow %s after it was dropped", f.class.Name, f.createdAt.Sub(at))
	}
	if at, ok := s.deployment.evacuatedAt[s.backend.Domain]; ok && s.deployment.limitsApply(b) && time.Since(at) > evacuationLimit {
		s.deployment.addViolation("%s received a new flow %s after its failure domain was evacuated", s.backend.Name, time.Since(at))
	}
	if !s.flows[f] {
		s.checkColdRate()
	}
	s.flows[f] = true
	s.sendToCaller(func() { f.handleAccept(s, tag) })
}

// The platform's limits for the propagation of a change to all balancers.
const (
	// drainPropagationLimit is the time after which a draining or removed server must not
	// receive new flows.
	drainPropagationLimit = 3 * time.Second
	// configPropagationLimit is the time after which a dropped route must not accept new
	// flows.
	configPropagationLimit = 3 * time.Second
	// evacuationLimit is the time after which the servers of an evacuated failure domain must
	// not receive new flows.
	evacuationLimit = 5 * time.Second
)

// checkColdRate records a violation if a cold server receives more new flows in a second than its
// rate allows, from all balancers together.
func (s *Server) checkColdRate() {
	now := time.Now()
	if s.service.ColdRate == 0 || now.After(s.backend.ColdUntil) {
		return
	}
	s.recentFlows = append(s.recentFlows, now)
	for now.Sub(s.recentFlows[0]) > time.Second {
		s.recentFlows = s.recentFlows[1:]
	}
	if limit := s.service.ColdRate*coldOverage + coldSlack; float64(len(s.recentFlows)) > limit {
		s.deployment.addViolation("%s, which is cold, received %d new flows in a second, more than %.1f", s.backend.Name, len(s.recentFlows), limit)
	}
}

// acceptRequest processes, queues or rejects a request. It ignores retransmissions and
// packets without a request.
func (s *Server) acceptRequest(f *flow, req request) {
	if req.number == 0 || req.number <= f.requestReceived {
		return
	}
	f.requestReceived = req.number
	if s.deployment.random.Float64() < s.lostShare {
		return
	}
	switch {
	case s.busySlots < s.service.Slots:
		s.process(job{f, req})
	case len(s.queue) < s.service.QueueLimit:
		s.queue = append(s.queue, job{f, req})
	default:
		s.deployment.Results[f.class.Name].Shed++
		s.sendAnswer(f, req.number, false, minRetransmitInterval)
	}
}

// sendAnswer sends the answer to a request and retransmits it until the caller has
// received it.
func (s *Server) sendAnswer(f *flow, number int, success bool, interval time.Duration) {
	if s.stopped || f.closed || f.answerReceived >= number {
		return
	}
	s.sendToCaller(func() { f.handleAnswer(number, success) })
	s.deployment.after(interval, func() { s.sendAnswer(f, number, success, min(2*interval, maxRetransmitInterval)) })
}

// process occupies a slot with a job, then answers it and starts the next queued job.
func (s *Server) process(j job) {
	s.busySlots++
	workTime := j.request.workTime
	if s.slowness > 0 {
		workTime = time.Duration(float64(workTime) * s.slowness)
	}
	s.deployment.after(workTime, func() {
		s.busySlots--
		if s.stopped {
			return
		}
		s.sendAnswer(j.flow, j.request.number, true, minRetransmitInterval)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.process(next)
		}
	})
}
