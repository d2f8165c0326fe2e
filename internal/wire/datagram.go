// Package wire holds the messages between balancers: protobuf messages for
// control, and datagrams that carry a caller's packet with a few bytes in front.
//
// Packets are not wrapped in protobuf: the receiver of a datagram uses the packet
// in place, without a copy, and every byte in front of an exception's first
// packet is paid for out of the control budget.
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

// The kinds of datagram.
const (
	// KindForward carries a packet to the balancer that decides for its flow.
	KindForward DatagramKind = 1
	// KindInstall carries an exception's packet along its slot's replicas.
	KindInstall DatagramKind = 2
	// KindAnswer tells an ingress balancer a flow's backend server.
	KindAnswer DatagramKind = 3
	// KindProbe carries a Probe.
	KindProbe DatagramKind = 4
)

// Sizes of datagram headers, in bytes.
const (
	ForwardHeaderBytes = 2
	installHeaderBytes = 6
	memberKeyBytes     = 4
	AnswerBytes        = 17
	MaxHeaderBytes     = installHeaderBytes + ring.ReplicaCount*memberKeyBytes
	IPUDPHeaderBytes   = 28
)

// ErrTruncated is returned for datagrams that end within their header.
var ErrTruncated = errors.New("wire: datagram ends within its header")

// Install is the header of an exception's packet. Chain names the replicas that
// the packet has yet to visit; the last one sends it to the backend server.
type Install struct {
	Backend flow.BackendKey
	Chain   [ring.ReplicaCount]flow.MemberKey
	Length  int
}

// Pop removes the next replica from the chain.
func (i *Install) PopReplica() flow.MemberKey {
	next := i.Chain[0]
	copy(i.Chain[:], i.Chain[1:])
	i.Length--
	return next
}

// Answer is an owner's decision, told to an ingress balancer.
type Answer struct {
	Flow    flow.ID
	Backend flow.BackendKey
	Service flow.ServiceKey
}

// AppendForward appends the header of a packet that was handed over before as often
// as hops says.
func AppendForward(buffer []byte, hops uint8) []byte {
	return append(buffer, byte(KindForward), hops)
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

// AppendAnswer appends a whole answer.
func AppendAnswer(buffer []byte, answer Answer) []byte {
	buffer = append(buffer, byte(KindAnswer))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(answer.Flow))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(answer.Backend))
	return binary.LittleEndian.AppendUint32(buffer, uint32(answer.Service))
}

// ReadForward returns the hops and the packet of a handed-over packet.
func ReadForward(data []byte) (hops uint8, packet []byte, err error) {
	if len(data) <= ForwardHeaderBytes {
		return 0, nil, ErrTruncated
	}
	return data[1], data[ForwardHeaderBytes:], nil
}

// ReadInstall returns the header and the packet of an exception's packet.
func ReadInstall(data []byte) (Install, []byte, error) {
	if len(data) < installHeaderBytes {
		return Install{}, nil, ErrTruncated
	}
	install := Install{Length: int(data[1]), Backend: flow.BackendKey(binary.LittleEndian.Uint32(data[2:]))}
	if install.Length > ring.ReplicaCount {
		return Install{}, nil, fmt.Errorf("wire: chain of %d replicas, at most %d", install.Length, ring.ReplicaCount)
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

// ReadAnswer reads an answer.
func ReadAnswer(data []byte) (Answer, error) {
	if len(data) != AnswerBytes {
		return Answer{}, fmt.Errorf("wire: answer of %d bytes, expected %d", len(data), AnswerBytes)
	}
	return Answer{
		Flow:    flow.ID(binary.LittleEndian.Uint64(data[1:])),
		Backend: flow.BackendKey(binary.LittleEndian.Uint32(data[9:])),
		Service: flow.ServiceKey(binary.LittleEndian.Uint32(data[13:])),
	}, nil
}
