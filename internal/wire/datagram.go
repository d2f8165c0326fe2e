// Package wire defines the messages between balancers: protobuf messages for control
// traffic, and datagrams that consist of a short binary header and a caller's packet.
//
// Wrapping packets in protobuf was rejected. The receiver of a datagram uses the
// packet in place, without copying it, and each byte of the header of an exception's
// first packet counts against the control budget.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// DatagramKind is the first byte of a datagram between balancers.
type DatagramKind byte

// The values of DatagramKind.
const (
	// KindHandOver hands a packet over to the balancer that owns its flow.
	KindHandOver DatagramKind = 1
	// KindInstall carries an exception's packet along the replicas of its slot, which
	// record the exception.
	KindInstall DatagramKind = 2
	// KindAnswer informs the balancer that receives a flow's packets of the flow's backend
	// server.
	KindAnswer DatagramKind = 3
	// KindProbe carries a Probe message.
	KindProbe DatagramKind = 4
)

// Sizes in bytes.
const (
	// HandOverHeaderBytes is the size of the header that AppendHandOver appends.
	HandOverHeaderBytes = 2
	installHeaderBytes  = 6
	memberKeyBytes      = 4
	// AnswerBytes is the size of a whole answer.
	AnswerBytes = 17
	// MaxHeaderBytes is the size of the longest header, that of a full replica chain.
	MaxHeaderBytes = installHeaderBytes + ring.ReplicaCount*memberKeyBytes
	// IPUDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	IPUDPHeaderBytes = 28
)

// ErrTruncated is returned for datagrams without a complete header or without a packet.
var ErrTruncated = errors.New("wire: datagram is truncated")

// Install is the header of an exception's packet. The first Length elements of Chain are
// the replicas that the packet has yet to visit. The last one sends the packet to the
// backend server.
type Install struct {
	Backend flow.BackendKey
	Chain   [ring.ReplicaCount]flow.MemberKey
	Length  int
}

// PopReplica removes the next replica from the chain, which must not be empty, and
// returns it.
func (i *Install) PopReplica() flow.MemberKey {
	next := i.Chain[0]
	copy(i.Chain[:], i.Chain[1:])
	i.Length--
	return next
}

// Answer is an owner's decision on a flow, which the balancer that receives the flow's
// packets caches.
type Answer struct {
	Flow    flow.ID
	Backend flow.BackendKey
	Service flow.ServiceKey
}

// AppendHandOver appends the header of a packet that is handed over. The hop count hops
// includes this hand-over.
func AppendHandOver(buffer []byte, hops uint8) []byte {
	return append(buffer, byte(KindHandOver), hops)
}

// AppendInstall appends the header of an exception's packet.
func AppendInstall(buffer []byte, install Install) []byte {
	buffer = append(buffer, byte(KindInstall), byte(install.Length))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(install.Backend))
	for _, member := range install.Chain[:install.Length] {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(member))
	}
	return buffer
}

// AppendAnswer appends a whole answer datagram.
func AppendAnswer(buffer []byte, answer Answer) []byte {
	buffer = append(buffer, byte(KindAnswer))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(answer.Flow))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(answer.Backend))
	return binary.LittleEndian.AppendUint32(buffer, uint32(answer.Service))
}

// ReadHandOver returns the hop count and the packet of a KindHandOver datagram, or ErrTruncated.
// The packet refers to data.
func ReadHandOver(data []byte) (hops uint8, packet []byte, err error) {
	if len(data) <= HandOverHeaderBytes {
		return 0, nil, ErrTruncated
	}
	return data[1], data[HandOverHeaderBytes:], nil
}

// ReadInstall returns the header and the packet of a KindInstall datagram. The packet refers
// to data. The error is ErrTruncated, or another one if the chain is too long.
func ReadInstall(data []byte) (Install, []byte, error) {
	if len(data) < installHeaderBytes {
		return Install{}, nil, ErrTruncated
	}
	install := Install{Length: int(data[1]), Backend: flow.BackendKey(binary.LittleEndian.Uint32(data[2:]))}
	if install.Length > ring.ReplicaCount {
		return Install{}, nil, fmt.Errorf("wire: replica chain has length %d, limit is %d", install.Length, ring.ReplicaCount)
	}
	rest := data[installHeaderBytes:]
	if len(rest) <= install.Length*memberKeyBytes {
		return Install{}, nil, ErrTruncated
	}
	for index := range install.Length {
		install.Chain[index] = flow.MemberKey(binary.LittleEndian.Uint32(rest))
		rest = rest[memberKeyBytes:]
	}
	return install, rest, nil
}

// ReadAnswer reads a KindAnswer datagram. It returns an error if the length is wrong.
func ReadAnswer(data []byte) (Answer, error) {
	if len(data) != AnswerBytes {
		return Answer{}, fmt.Errorf("wire: answer has %d bytes, expected %d", len(data), AnswerBytes)
	}
	return Answer{
		Flow:    flow.ID(binary.LittleEndian.Uint64(data[1:])),
		Backend: flow.BackendKey(binary.LittleEndian.Uint32(data[9:])),
		Service: flow.ServiceKey(binary.LittleEndian.Uint32(data[13:])),
	}, nil
}
