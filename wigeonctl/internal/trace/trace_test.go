package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/wigeonctl/internal/trace"
)

// The logs of two balancers with synchronized clocks. The first placed a flow and the second reset it.
const (
	firstLog = `{"time":"2026-12-04T09:00:00.1Z","level":"INFO","msg":"entry: started","Instance":"entry-1"}
{"time":"2026-12-04T09:00:01Z","level":"INFO","msg":"tagged: flow placed","Flow":"100.64.0.1:1034>198.18.0.1:443","Backend":"i-07","Reason":"first packet","Revision":20}
{"time":"2026-12-04T09:00:01.1Z","level":"INFO","msg":"tagged: flow placed","Flow":"100.64.0.1:1035>198.18.0.1:443","Backend":"i-08","Reason":"first packet","Revision":20}
panic: not JSON
`
	secondLog = `  3.5 entry-2 {"time":"2026-12-04T09:00:01.5Z","level":"INFO","msg":"tagged: backend server is dead","Backend":"i-07","Check":"Refused"}
  3.5 entry-2 {"time":"2026-12-04T09:00:01.6Z","level":"INFO","msg":"tagged: flow reset","Flow":"100.64.0.1:1034>198.18.0.1:443","Backend":"i-07","Reason":"backend server is dead","Revision":20}
  3.5 entry-2 {"time":"2026-12-04T09:00:01.6Z","level":"INFO","msg":"tagged: backend server is dead","Backend":"i-09","Check":"Refused"}
  9.9 entry-2 {"time":"2026-12-04T09:00:09Z","level":"INFO","msg":"tagged: backend server answers again","Backend":"i-07"}
`
)

func readLogs(is *is.I) *trace.Log {
	log := &trace.Log{}
	is.NoErr(log.Read("a.log", strings.NewReader(firstLog)))
	is.NoErr(log.Read("b.log", strings.NewReader(secondLog)))
	return log
}

func TestFlowHistory(t *testing.T) {
	is := is.New(t)
	log := readLogs(is)
	is.Equal(log.Skipped, 1)
	var got []string
	history := log.FlowHistory("100.64.0.1:1034")
	for index := range history {
		got = append(got, fmt.Sprintf("%s %s", history[index].Instance, history[index].Message))
	}
	is.Equal(got, []string{
		"entry-1 entry: started",
		"entry-1 tagged: flow placed",
		"entry-2 tagged: backend server is dead",
		"entry-2 tagged: flow reset",
	})
	is.Equal(len(log.FlowHistory("100.64.0.1:1034>198.18.0.1:443")), len(got))
	is.Equal(log.FlowHistory("100.64.0.9:1"), nil)
	is.Equal(trace.Outcome(history), "flow reset by entry-2 at revision 20: backend server is dead. The lines of the backend server above show why it was considered dead.")
}

func ExampleLine_String() {
	log := &trace.Log{}
	_ = log.Read("a.log", strings.NewReader(firstLog))
	for _, line := range log.FlowHistory("100.64.0.1:1035")[1:] {
		fmt.Println(line.String())
	}
	// Output: * 09:00:01.100000 entry-1 tagged: flow placed Flow=100.64.0.1:1035>198.18.0.1:443 Backend=i-08 Reason=first packet Revision=20
}
