package gossip

// Queries to peers about the reachability of backend servers, which are sent as Inquiry and
// answered by Opinion messages. Each server is queried from a peer in its own failure
// domain, which is the nearest to it, and from one in this balancer's domain, which is
// affected by the same network partitions.

import (
	"net/netip"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/internal/wire"
)

// QueryReachability returns queries about backend servers, batched by peer.
func (n *Node) QueryReachability(queries []tagged.ReachabilityQuery) []Message {
	n.outbox = nil
	peerIn := make(map[string]*member)
	batches := make(map[*member][]uint32)
	var order []*member
	for _, query := range queries {
		serverPeer, found := peerIn[query.Domain]
		if !found {
			serverPeer = n.randomMemberIn(query.Domain, peerIn[n.self.Domain])
			peerIn[query.Domain] = serverPeer
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
			batches[peer] = append(batches[peer], uint32(query.Tag))
		}
	}
	for _, peer := range order {
		query := &wire.Inquiry{Tags: batches[peer]}
		data := n.marshal(&wire.Exchange{Body: &wire.Exchange_Inquiry{Inquiry: query}})
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

// ReportReachability returns the answer to a peer's query.
func (n *Node) ReportReachability(to netip.AddrPort, report tagged.ReachabilityReport) []Message {
	message := &wire.Opinion{Alive: encodeTags(report.Alive), Silent: encodeTags(report.Silent)}
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

func decodeReachabilityReport(message *wire.Opinion) tagged.ReachabilityReport {
	return tagged.ReachabilityReport{Alive: decodeTags(message.Alive), Silent: decodeTags(message.Silent)}
}
