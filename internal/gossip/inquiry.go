package gossip

// Asking other balancers whether they reach a backend server: one in the server's failure
// domain, which is nearest to it, and one in this balancer's own, which sees the same
// cuts.

import (
	"net/netip"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/wire"
)

// Inquire asks peers about backend servers.
func (n *Node) Inquire(inquiries []tagged.ReachabilityQuery) []Message {
	n.out = nil
	asked := make(map[string]*member)
	batches := make(map[*member][]uint32)
	var order []*member
	for _, inquiry := range inquiries {
		near, found := asked[inquiry.Domain]
		if !found {
			near = n.drawIn(inquiry.Domain, asked[n.self.Domain])
			asked[inquiry.Domain] = near
		}
		own, found := asked[n.self.Domain]
		if !found || own == near {
			own = n.drawIn(n.self.Domain, near)
			asked[n.self.Domain] = own
		}
		for _, peer := range []*member{near, own} {
			if peer == nil {
				continue
			}
			if batches[peer] == nil {
				order = append(order, peer)
			}
			batches[peer] = append(batches[peer], uint32(inquiry.Tag))
		}
	}
	for _, peer := range order {
		inquiry := &wire.Inquiry{Tags: batches[peer]}
		data := n.marshal(&wire.Exchange{Body: &wire.Exchange_Inquiry{Inquiry: inquiry}})
		n.out = append(n.out, Message{To: peer.address, Data: data})
	}
	return n.out
}

// drawIn returns a live member of a failure domain other than the one given, or nil.
func (n *Node) drawIn(domain string, except *member) *member {
	live := n.roster.live
	if len(live) == 0 {
		return nil
	}
	first := n.settings.Rand.IntN(len(live))
	for offset := range live {
		if m := live[(first+offset)%len(live)]; m.told.Domain == domain && m != except {
			return m
		}
	}
	return nil
}

// Opinion returns the answer to a peer's inquiry.
func (n *Node) Opinion(to netip.AddrPort, opinion tagged.ReachabilityReport) []Message {
	message := &wire.Opinion{Alive: numbers(opinion.Alive), Silent: numbers(opinion.Silent)}
	return []Message{{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Opinion{Opinion: message}})}}
}

func numbers(tags []state.Tag) []uint32 {
	list := make([]uint32, len(tags))
	for index, tag := range tags {
		list[index] = uint32(tag)
	}
	return list
}

func tagsOf(numbers []uint32) []state.Tag {
	list := make([]state.Tag, len(numbers))
	for index, number := range numbers {
		list[index] = state.Tag(number)
	}
	return list
}

func decodeOpinion(message *wire.Opinion) tagged.ReachabilityReport {
	return tagged.ReachabilityReport{Alive: tagsOf(message.Alive), Silent: tagsOf(message.Silent)}
}
