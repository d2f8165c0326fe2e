// Package packet parses callers' IP packets and builds the packets that a balancer sends
// itself: TCP resets and ICMP port unreachable messages.
//
// Packets are parsed by gopacket's decoding layers, which are reused from packet to packet and
// do not allocate. Parsing the headers without a library was rejected because gopacket does it
// well.
package packet

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"wigeonmoor.example/internal/flow"
)

// MaxBytes is the size of the largest packet that Parse accepts, in bytes.
const MaxBytes = 9000

// defaultTTL is the TTL or hop limit of the built packets.
const defaultTTL = 64

// Errors of Parse.
var (
	// ErrFragment is returned for IP fragments. They are not supported because most of them
	// have no ports.
	ErrFragment = errors.New("packet: IP fragments are not supported")
	// ErrProtocol is returned for packets that are neither TCP nor UDP.
	ErrProtocol = errors.New("packet: protocol is neither TCP nor UDP")
)

// Packet is a parsed packet of a caller.
type Packet struct {
	// Key identifies the packet's flow.
	Key flow.Key
	// Bytes is the whole packet. It aliases the input of Parse.
	Bytes []byte
	// First is set on packets that may open a flow: a TCP SYN.
	First bool
	// Last is set on packets that end a flow: a TCP FIN or RST.
	Last bool
	// Ack is set on TCP packets with the ACK flag.
	Ack bool
}

// Parser parses packets. It is meant to be reused, and is not safe for concurrent use.
type Parser struct {
	ipv4       layers.IPv4
	ipv6       layers.IPv6
	tcp        layers.TCP
	udp        layers.UDP
	payload    gopacket.Payload
	decoded    []gopacket.LayerType
	ipv4Parser *gopacket.DecodingLayerParser
	ipv6Parser *gopacket.DecodingLayerParser
}

// NewParser returns a parser for IPv4 and IPv6 packets without link layer headers.
func NewParser() *Parser {
	p := &Parser{}
	p.ipv4Parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &p.ipv4, &p.tcp, &p.udp, &p.payload)
	p.ipv6Parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &p.ipv6, &p.tcp, &p.udp, &p.payload)
	p.ipv4Parser.IgnoreUnsupported = true
	p.ipv6Parser.IgnoreUnsupported = true
	return p
}

// Parse parses a packet into out. It returns ErrFragment for IP fragments, ErrProtocol for
// packets that are neither TCP nor UDP, and other errors for packets that are malformed or
// longer than MaxBytes.
func (p *Parser) Parse(data []byte, out *Packet) error {
	if len(data) == 0 {
		return errors.New("packet: parse: packet is empty")
	}
	if len(data) > MaxBytes {
		return fmt.Errorf("packet: parse: packet has %d bytes, limit is %d", len(data), MaxBytes)
	}
	source, destination, err := p.decode(data)
	if err != nil {
		return err
	}
	*out = Packet{Bytes: data}
	switch p.decodedTransport() {
	case layers.LayerTypeTCP:
		out.Key = flow.Key{
			Protocol: flow.TCP,
			Caller:   netip.AddrPortFrom(source, uint16(p.tcp.SrcPort)),
			Service:  netip.AddrPortFrom(destination, uint16(p.tcp.DstPort)),
		}
		out.First = p.tcp.SYN && !p.tcp.ACK
		out.Last = p.tcp.FIN || p.tcp.RST
		out.Ack = p.tcp.ACK
		return nil
	case layers.LayerTypeUDP:
		out.Key = flow.Key{
			Protocol: flow.UDP,
			Caller:   netip.AddrPortFrom(source, uint16(p.udp.SrcPort)),
			Service:  netip.AddrPortFrom(destination, uint16(p.udp.DstPort)),
		}
		return nil
	}
	return ErrProtocol
}

// decode runs the decoding layers for the packet's IP version.
func (p *Parser) decode(data []byte) (source, destination netip.Addr, err error) {
	switch data[0] >> 4 {
	case 4:
		if err := p.ipv4Parser.DecodeLayers(data, &p.decoded); err != nil {
			return source, destination, fmt.Errorf("packet: parse IPv4: %w", err)
		}
		if p.ipv4.FragOffset != 0 || p.ipv4.Flags&layers.IPv4MoreFragments != 0 {
			return source, destination, ErrFragment
		}
		source, _ = netip.AddrFromSlice(p.ipv4.SrcIP)
		destination, _ = netip.AddrFromSlice(p.ipv4.DstIP)
		return source, destination, nil
	case 6:
		if err := p.ipv6Parser.DecodeLayers(data, &p.decoded); err != nil {
			return source, destination, fmt.Errorf("packet: parse IPv6: %w", err)
		}
		if p.ipv6.NextHeader == layers.IPProtocolIPv6Fragment {
			return source, destination, ErrFragment
		}
		source, _ = netip.AddrFromSlice(p.ipv6.SrcIP)
		destination, _ = netip.AddrFromSlice(p.ipv6.DstIP)
		return source, destination, nil
	}
	return source, destination, fmt.Errorf("packet: parse: unknown IP version %d", data[0]>>4)
}

// decodedTransport returns the transport layer of the packet that was decoded last, the zero
// value if it is neither TCP nor UDP.
func (p *Parser) decodedTransport() gopacket.LayerType {
	for _, layer := range p.decoded {
		if layer == layers.LayerTypeTCP || layer == layers.LayerTypeUDP {
			return layer
		}
	}
	return gopacket.LayerTypeZero
}

// Reject builds the packet that ends the flow of a given packet at its caller: a TCP reset, or
// an ICMP port unreachable message for UDP. A caller that gets a reset in response to a SYN
// knows that the connection was refused and no request was run. Reject returns an error for
// packets that Parse does not accept, for resets, as a reset must not be answered, and for UDP
// over IPv6.
func (p *Parser) Reject(data []byte) ([]byte, error) {
	var parsed Packet
	if err := p.Parse(data, &parsed); err != nil {
		return nil, fmt.Errorf("packet: reject: %w", err)
	}
	if parsed.Key.Protocol == flow.UDP {
		return p.portUnreachable(parsed)
	}
	if p.tcp.RST {
		return nil, errors.New("packet: reject: resets are not answered")
	}
	reset := layers.TCP{SrcPort: p.tcp.DstPort, DstPort: p.tcp.SrcPort, RST: true}
	if p.tcp.ACK {
		reset.Seq = p.tcp.Ack
	} else {
		reset.ACK = true
		reset.Ack = p.tcp.Seq + uint32(len(p.tcp.Payload))
		if p.tcp.SYN {
			reset.Ack++
		}
	}
	return serialize(parsed.Key, layers.IPProtocolTCP, &reset)
}

// portUnreachable builds an ICMP port unreachable message. It quotes the headers of the packet,
// as ICMP requires.
func (p *Parser) portUnreachable(parsed Packet) ([]byte, error) {
	if !parsed.Key.Service.Addr().Is4() {
		return nil, errors.New("packet: reject: UDP over IPv6 is not supported")
	}
	quoted := parsed.Bytes[:min(len(parsed.Bytes), int(p.ipv4.IHL)*4+8)]
	code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
	return serialize(parsed.Key, layers.IPProtocolICMPv4, &layers.ICMPv4{TypeCode: code}, gopacket.Payload(quoted))
}

// serialize builds an IP packet from the key's service to its caller, with the given layers
// after the IP header.
func serialize(key flow.Key, protocol layers.IPProtocol, upper ...gopacket.SerializableLayer) ([]byte, error) {
	var network gopacket.NetworkLayer
	var ipLayer gopacket.SerializableLayer
	source := key.Service.Addr().AsSlice()
	destination := key.Caller.Addr().AsSlice()
	if key.Service.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: defaultTTL, Protocol: protocol, SrcIP: source, DstIP: destination}
		network, ipLayer = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: defaultTTL, NextHeader: protocol, SrcIP: source, DstIP: destination}
		network, ipLayer = ip, ip
	}
	for _, layer := range upper {
		transport, ok := layer.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		})
		if !ok {
			continue
		}
		if err := transport.SetNetworkLayerForChecksum(network); err != nil {
			return nil, fmt.Errorf("packet: checksum: %w", err)
		}
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	all := append([]gopacket.SerializableLayer{ipLayer}, upper...)
	if err := gopacket.SerializeLayers(buffer, options, all...); err != nil {
		return nil, fmt.Errorf("packet: serialize: %w", err)
	}
	return buffer.Bytes(), nil
}

// Datagram describes a UDP datagram to build, for simulations and tests.
type Datagram struct {
	From    netip.AddrPort
	To      netip.AddrPort
	Payload []byte
}

// Bytes returns the datagram as an IP packet.
func (d Datagram) Bytes() ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(d.From.Port()), DstPort: layers.UDPPort(d.To.Port())}
	return serialize(flow.Key{Service: d.From, Caller: d.To}, layers.IPProtocolUDP, udp, gopacket.Payload(d.Payload))
}

// Segment describes a TCP segment to build, for simulations and tests.
type Segment struct {
	From    netip.AddrPort
	To      netip.AddrPort
	Seq     uint32
	AckSeq  uint32
	SYN     bool
	ACK     bool
	FIN     bool
	RST     bool
	Payload []byte
}

// Bytes returns the segment as an IP packet.
func (s Segment) Bytes() ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.From.Port()),
		DstPort: layers.TCPPort(s.To.Port()),
		Seq:     s.Seq,
		Ack:     s.AckSeq,
		SYN:     s.SYN,
		ACK:     s.ACK,
		FIN:     s.FIN,
		RST:     s.RST,
		Window:  65535,
	}
	key := flow.Key{Service: s.From, Caller: s.To}
	return serialize(key, layers.IPProtocolTCP, tcp, gopacket.Payload(s.Payload))
}

// Segment returns the TCP segment that was parsed last. parsed must be the result of that call
// of Parse.
func (p *Parser) Segment(parsed Packet) Segment {
	return Segment{
		From:    parsed.Key.Caller,
		To:      parsed.Key.Service,
		Seq:     p.tcp.Seq,
		AckSeq:  p.tcp.Ack,
		SYN:     p.tcp.SYN,
		ACK:     p.tcp.ACK,
		FIN:     p.tcp.FIN,
		RST:     p.tcp.RST,
		Payload: p.tcp.Payload,
	}
}
