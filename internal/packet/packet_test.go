package packet_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/packet"
)

var (
	caller  = netip.MustParseAddrPort("203.0.113.9:40000")
	service = netip.MustParseAddrPort("198.51.100.1:443")
)

// parse builds a segment and parses it. It returns the parser and the result.
func parse(t testing.TB, segment packet.Segment) (*packet.Parser, packet.Packet) {
	t.Helper()
	data, err := segment.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	parser := packet.NewParser()
	var parsed packet.Packet
	if err := parser.Parse(data, &parsed); err != nil {
		t.Fatal(err)
	}
	return parser, parsed
}

func TestParse(t *testing.T) {
	is := is.New(t)
	_, parsed := parse(t, packet.Segment{From: caller, To: service, SYN: true})
	is.True(parsed.First)
	is.Equal(parsed.Key.Caller, caller)
	is.Equal(parsed.Key.Service, service)
	_, parsed = parse(t, packet.Segment{From: caller, To: service, FIN: true, ACK: true})
	is.True(parsed.Last && parsed.Ack && !parsed.First)
}

// A reset has the sequence number or acknowledgment number that its receiver expects (RFC
// 9293, section 3.10.7).
func TestReject(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ received, reset packet.Segment }{
		{packet.Segment{From: caller, To: service, SYN: true, Seq: 7}, packet.Segment{RST: true, ACK: true, AckSeq: 8}},
		{packet.Segment{From: caller, To: service, ACK: true, Seq: 7, AckSeq: 99}, packet.Segment{RST: true, Seq: 99}},
	} {
		data, err := test.received.Bytes()
		is.NoErr(err)
		rejection, err := packet.NewParser().Reject(data)
		is.NoErr(err)
		parser := packet.NewParser()
		var parsed packet.Packet
		is.NoErr(parser.Parse(rejection, &parsed))
		segment := parser.Segment(parsed)
		is.Equal(segment.From, service)
		is.Equal(segment.To, caller)
		is.Equal(segment.RST, test.reset.RST)
		is.Equal(segment.ACK, test.reset.ACK)
		is.Equal(segment.Seq, test.reset.Seq)
		is.Equal(segment.AckSeq, test.reset.AckSeq)
	}
	data, err := packet.Segment{From: caller, To: service, RST: true}.Bytes()
	is.NoErr(err)
	_, err = packet.NewParser().Reject(data)
	is.True(err != nil) // a reset must not be answered
}

func FuzzParse(f *testing.F) {
	data, err := packet.Segment{From: caller, To: service, SYN: true}.Bytes()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x60})
	f.Fuzz(func(t *testing.T, data []byte) {
		parser := packet.NewParser()
		var parsed packet.Packet
		if err := parser.Parse(data, &parsed); err != nil {
			return
		}
		if !parsed.Key.Caller.IsValid() || !parsed.Key.Service.IsValid() {
			t.Fatal("Parse accepted a packet without addresses")
		}
		// Reject must not panic for any packet that Parse accepts.
		_, _ = parser.Reject(data)
	})
}
