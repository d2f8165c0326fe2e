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
	p       *Platform
	backend state.Backend
	service *Service
	// dark servers answer nothing, ended ones refuse connections.
	dark, ended bool
	// leftAt is when the store took in that the server is leaving or gone.
	leftAt time.Time
	busy   int
	queue  []job
	flows  map[*flow]bool
	// Opened counts the flows that were opened here.
	Opened int
}

type job struct {
	f    *flow
	data request
}

// request is what a packet carries, zero for none.
type request struct {
	number int
	work   time.Duration
}

// AddServer starts a backend server and publishes it.
func (p *Platform) AddServer(service, domain string) *Server {
	s := &Server{p: p, flows: make(map[*flow]bool)}
	for index := range p.settings.Services {
		if p.settings.Services[index].Name == service {
			s.service = &p.settings.Services[index]
		}
	}
	number := len(p.Servers) + 1
	s.backend = state.Backend{
		Name: fmt.Sprintf("i-%04x", number), ID: state.BackendID(number), Service: service, Domain: domain,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)}), 80),
		Slots:   s.service.Slots,
		State:   state.Serving,
		Started: time.Now().UnixMilli(),
	}
	p.Servers = append(p.Servers, s)
	s.publish()
	return s
}

func (s *Server) publish() {
	s.p.revision++
	s.backend.Revision = s.p.revision
	s.p.publish(state.Delta{Backends: []state.Backend{s.backend}})
}

// Drain publishes that the server is leaving; it ends once its flows have, after the
// given time at the least.
func (s *Server) Drain(least time.Duration) {
	s.backend.State = state.Draining
	s.leftAt = time.Now()
	s.publish()
	s.p.after(least, s.endDrained)
}

func (s *Server) endDrained() {
	if len(s.flows) > 0 {
		s.p.after(100*time.Millisecond, s.endDrained)
		return
	}
	s.ended = true
	s.withdraw()
}

func (s *Server) withdraw() {
	s.p.revision++
	s.p.publish(state.Delta{Removed: map[string]state.Revision{s.backend.Name: s.p.revision}})
	if s.leftAt.IsZero() {
		s.leftAt = time.Now()
	}
}

// Crash ends the server without a word. Its entry lapses after some heartbeats.
func (s *Server) Crash(dark bool, lapse time.Duration) {
	s.ended, s.dark = true, dark
	s.flows = make(map[*flow]bool)
	s.queue = nil
	s.p.after(lapse, s.withdraw)
}

// Lapse has the server's entry lapse while the server lives on.
func (s *Server) Lapse() { s.withdraw() }

// Flows returns the number of open flows.
func (s *Server) Flows() int { return len(s.flows) }

// receive takes a packet from a balancer.
func (s *Server) receive(b *Balancer, f *flow, packet tagged.Packet, verdict tagged.Verdict, data request) {
	if s.dark || verdict.ID != s.backend.ID {
		return
	}
	if f.class.Service != s.backend.Service {
		s.p.violated("%s of %s got a packet of %s", s.backend.Name, s.backend.Service, f.class.Name)
	}
	switch {
	case packet.First:
		s.first(b, f, verdict.Tag)
	case s.ended || f.openedAt != s && !s.flows[f]:
		s.answer(func() { f.aborted(s) })
	case packet.Last:
		delete(s.flows, f)
	default:
		s.data(f, data)
	}
}

// answer sends something to the caller, directly.
func (s *Server) answer(run func()) { s.p.toCaller(run) }

func (s *Server) first(b *Balancer, f *flow, tag state.Tag) {
	if s.ended {
		s.answer(func() { f.aborted(s) })
		return
	}
	if !s.leftAt.IsZero() && s.p.inTouch(b) && f.sentAt.After(s.leftAt.Add(drainLimit)) {
		s.p.violated("%s got a flow %s after it had left", s.backend.Name, f.sentAt.Sub(s.leftAt))
	}
	if at, ok := s.p.dropped[f.class.Name]; ok && s.p.inTouch(b) && f.sentAt.After(at.Add(configLimit)) {
		s.p.violated("route %s is dropped and got a flow %s later", f.class.Name, f.sentAt.Sub(at))
	}
	s.flows[f] = true
	s.answer(func() { f.accepted(s, tag) })
}

// The users' bounds for a leaving server and for a new configuration.
const (
	drainLimit  = 3 * time.Second
	configLimit = 3 * time.Second
)

// data takes a request, once.
func (s *Server) data(f *flow, data request) {
	if data.number == 0 || data.number <= f.taken {
		return
	}
	f.taken = data.number
	switch {
	case s.busy < s.service.Slots:
		s.work(job{f, data})
	case len(s.queue) < s.service.Queue:
		s.queue = append(s.queue, job{f, data})
	default:
		s.p.Results[f.class.Name].Shed++
		s.reply(f, data.number, false, repeatFirst)
	}
}

// reply sends an answer until the caller has it.
func (s *Server) reply(f *flow, number int, served bool, again time.Duration) {
	if s.ended || f.closed || f.got >= number {
		return
	}
	s.answer(func() { f.answered(number, served) })
	s.p.after(again, func() { s.reply(f, number, served, min(2*again, repeatMost)) })
}

func (s *Server) work(j job) {
	s.busy++
	s.p.after(j.data.work, func() {
		s.busy--
		if s.ended {
			return
		}
		s.reply(j.f, j.data.number, true, repeatFirst)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.work(next)
		}
	})
}
