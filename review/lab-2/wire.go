package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The header of a packet as PROTOCOL.md shows it: 32 bytes, little-endian.
const (
	headerBytes = 32
	flagSYN     = 64
	flagACK     = 8
	flagFIN     = 16
	flagRST     = 32
)

// checksumKey is the key of the ends' checksum, which the balancers do not know.
const checksumKey = "lab-2"

// header is the header of a packet.
type header struct {
	source, destination netip.AddrPort
	sequence, ack       uint32
	flags               byte
	sum                 uint32
	echo                uint32
}

func putEndpoint(data []byte, addressOffset, portOffset int, endpoint netip.AddrPort) {
	address := endpoint.Addr().As4()
	binary.LittleEndian.PutUint32(data[addressOffset:], binary.BigEndian.Uint32(address[:]))
	binary.LittleEndian.PutUint16(data[portOffset:], endpoint.Port())
}

func readEndpoint(data []byte, addressOffset, portOffset int) netip.AddrPort {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], binary.LittleEndian.Uint32(data[addressOffset:]))
	return netip.AddrPortFrom(netip.AddrFrom4(address), binary.LittleEndian.Uint16(data[portOffset:]))
}

// checksum returns the keyed checksum of a packet over everything but echo, pad and the checksum
// itself. It is never 0, which marks resets of the balancers.
func checksum(packet []byte) uint32 {
	covered := append([]byte(checksumKey), packet[:21]...)
	covered = append(covered, packet[22:24]...)
	return max(crc32.ChecksumIEEE(append(covered, packet[headerBytes:]...)), 1)
}

// encode returns a packet of an end, with its checksum.
func (h header) encode(data []byte) []byte {
	packet := make([]byte, headerBytes, headerBytes+len(data))
	putEndpoint(packet, 4, 0, h.destination)
	putEndpoint(packet, 8, 2, h.source)
	binary.LittleEndian.PutUint32(packet[12:], h.sequence)
	binary.LittleEndian.PutUint32(packet[16:], h.ack)
	packet[20] = h.flags
	binary.LittleEndian.PutUint16(packet[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(packet[28:], h.echo)
	packet = append(packet, data...)
	binary.LittleEndian.PutUint32(packet[24:], checksum(packet))
	return packet
}

// decode returns the header and data of a packet, and false if it is too short.
func decode(packet []byte) (header, []byte, bool) {
	if len(packet) < headerBytes || int(binary.LittleEndian.Uint16(packet[22:])) != len(packet)-headerBytes {
		return header{}, nil, false
	}
	return header{
		source:      readEndpoint(packet, 8, 2),
		destination: readEndpoint(packet, 4, 0),
		sequence:    binary.LittleEndian.Uint32(packet[12:]),
		ack:         binary.LittleEndian.Uint32(packet[16:]),
		flags:       packet[20],
		sum:         binary.LittleEndian.Uint32(packet[24:]),
		echo:        binary.LittleEndian.Uint32(packet[28:]),
	}, packet[headerBytes:], true
}
