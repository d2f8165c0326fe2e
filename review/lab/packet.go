package main

// The platform's packets, as PROTOCOL.md describes them: a header of 32 bytes and up to 1,200
// bytes of data.

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// The flags of a packet.
const (
	flagSYN byte = 64
	flagACK byte = 8
	flagFIN byte = 16
	flagRST byte = 32
	// flagBounced is not covered by the sum.
	flagBounced byte = 1
)

const (
	headerBytes = 32
	// maxDataBytes is the largest amount of data in a packet.
	maxDataBytes = 1200
	// targetIDBytes is the size of the target's ID in front of a packet to a target.
	targetIDBytes = 8
	// resetWindow is how far the sequence number of a balancer's reset may be from the
	// client's last acknowledgement.
	resetWindow = 76_800
	maxDatagram = 4096
)

// sumKey is known to clients and targets only.
var sumKey = []byte("known to both ends only")

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	echo     uint32
	sum      uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet with the given sum.
func (p *packet) encode(sum uint32) []byte {
	out := make([]byte, headerBytes, headerBytes+len(p.data))
	little := binary.LittleEndian
	little.PutUint16(out[0:], p.dst.Port())
	little.PutUint16(out[2:], p.src.Port())
	little.PutUint32(out[4:], addressNumber(p.dst.Addr()))
	little.PutUint32(out[8:], addressNumber(p.src.Addr()))
	little.PutUint32(out[12:], p.seq)
	little.PutUint32(out[16:], p.ack)
	out[20] = p.flags
	little.PutUint16(out[22:], uint16(len(p.data)))
	little.PutUint32(out[24:], sum)
	little.PutUint32(out[28:], p.echo)
	return append(out, p.data...)
}

// signed returns the packet with the sum of its sender.
func (p *packet) signed() []byte { return p.encode(p.expectedSum()) }

// expectedSum returns the keyed sum over all fields except echo, pad and the flag BOUNCED.
func (p *packet) expectedSum() uint32 {
	unsummed := *p
	unsummed.echo = 0
	unsummed.flags &^= flagBounced
	hash := fnv.New32a()
	_, _ = hash.Write(sumKey)
	_, _ = hash.Write(unsummed.encode(0))
	return hash.Sum32()
}

// decode parses a packet. It does not check the sum.
func decode(data []byte) (packet, error) {
	if len(data) < headerBytes {
		return packet{}, fmt.Errorf("packet of %d bytes", len(data))
	}
	little := binary.LittleEndian
	if length := int(little.Uint16(data[22:])); length != len(data)-headerBytes {
		return packet{}, fmt.Errorf("length field %d with %d bytes of data", length, len(data)-headerBytes)
	}
	return packet{
		dst:   netip.AddrPortFrom(numberAddress(little.Uint32(data[4:])), little.Uint16(data[0:])),
		src:   netip.AddrPortFrom(numberAddress(little.Uint32(data[8:])), little.Uint16(data[2:])),
		seq:   little.Uint32(data[12:]),
		ack:   little.Uint32(data[16:]),
		flags: data[20],
		sum:   little.Uint32(data[24:]),
		echo:  little.Uint32(data[28:]),
		data:  append([]byte(nil), data[headerBytes:]...),
	}, nil
}

func addressNumber(address netip.Addr) uint32 {
	bytes := address.As4()
	return binary.BigEndian.Uint32(bytes[:])
}

func numberAddress(number uint32) netip.Addr {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], number)
	return netip.AddrFrom4(bytes)
}
