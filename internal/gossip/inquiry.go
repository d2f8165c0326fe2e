package gossip

// Inquiries ask other balancers whether they reach a backend server: one in the server's
// failure domain, which is the nearest to it, and one in this balancer's own domain, which
// is affected by the same network partitions.

import (
	"net/netip"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/wire"
)

// Inquire returns inquiries about backend servers, batched by peer.
func (n *Node) Inquire(inquiries []tagged.ReachabilityQuery) []Message {
	n.outbox = nil
	peerIn := make(map[string]*member)
	batches := make(map[*member][]uint32)
	var order []*member
	for _, inquiry := range inquiries {
		serverPeer, found := peerIn[inquiry.Domain]
		if !found {
			serverPeer = n.randomMemberIn(inquiry.Domain, peerIn[n.self.Domain])
			peerIn[inquiry.Domain] = serverPeer
		}
		localPeer, found := peerIn[n.self.Domain]
		if !found || localPeer == serverPeer {
			localPeer = n.randomMemberIn(n.self.Domain, serverPeer)
			peerIn[n.self.Domain] = localPeer
		}
		for _, peer := range []*member{serverPeer, localPeer} {
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
		n.outbox = append(n.outbox, Message{To: peer.address, Data: data})
	}
	return n.outbox
}

// randomMemberIn returns a random live member of a failure domain other than the one given,
// or nil if there is none.
func (n *Node) randomMemberIn(domain string, except *member) *member {
	live := n.members.live
	if len(live) == 0 {
		return nil
	}
	first := n.config.Rand.IntN(len(live))
	for offset := range live {
		if m := live[(first+offset)%len(live)]; m.record.Domain == domain && m != except {
			return m
		}
	}
	return nil
}

// AnswerInquiry returns the answer to a peer's inquiry.
func (n *Node) AnswerInquiry(to netip.AddrPort, opinion tagged.ReachabilityReport) []Message {
	message := &wire.Opinion{Alive: encodeTags(opinion.Alive), Silent: encodeTags(opinion.Silent)}
	return []Message{{To: to, Data: n.marshal(&wire.Exchange{Body: &wire.Exchange_Opinion{Opinion: message}})}}
}

func encodeTags(tags []state.Tag) []uint32 {
	list := make([]uint32, len(tags))
	for index, tag := range tags {
		list[index] = uint32(tag)
	}
	return list
}

func decodeTags(numbers []uint32) []state.Tag {
	list := make([]state.Tag, len(numbers))
	for index, number := range numbers {
		list[index] = state.Tag(number)
	}
	return list
}

func decodeOpinion(message *wire.Opinion) tagged.ReachabilityReport {
	return tagged.ReachabilityReport{Alive: decodeTags(message.Alive), Silent: decodeTags(message.Silent)}
}
