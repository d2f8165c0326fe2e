package health_test

import (
	"strings"
	"testing"
	"time"

	"wigeonmoor.example/internal/health"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Each step is a letter and the time in milliseconds at which it happens: S is a
// passive failure of a packet sent 80 ms before, L a passive success and V a success
// reported by a peer. The other letters start a check and give its result: A
// answered, R refused, T silent, D silent and inconclusive. "-" requires that no
// check is due.
func TestHealth(t *testing.T) {
	cases := []struct {
		name, steps  string
		want         health.State
		processEnded bool
	}{
		{"new", "", health.Alive, false},
		{"one unanswered packet", "S100", health.Suspected, false},
		{"unanswered packet sent before a success", "L90 S100", health.Alive, false},
		{"success after a failure", "S100 L110", health.Alive, false},
		{"no check without a failure", "-100", health.Alive, false},
		{"one failed check is not enough", "S100 T100", health.Suspected, false},
		{"two failed checks", "S100 T100 T210", health.Dead, false},
		{"interval between checks", "S100 T100 -149", health.Suspected, false},
		{"two refused checks", "S100 R100 R210", health.Dead, true},
		{"refused later", "S100 T100 T210 R1000", health.Dead, true},
		{"answered between two failures", "S100 T100 A210", health.Suspected, false},
		{"alive after an answered check and the recovery delay", "S100 A100 -200 -510", health.Alive, false},
		{"dead server answers a check but stays suspected", "S100 T100 T210 A1000", health.Suspected, false},
		{"dead server recovers", "S100 T100 T210 A1000 -1400", health.Alive, false},
		{"second failure after an answered check", "S100 A100 -510 S600 A600 -1300", health.Suspected, false},
		{"second recovery delay is twice as long", "S100 A100 -510 S600 A600 -1400", health.Alive, false},
		{"success of a flow resets the recovery delay", "S100 A100 -510 S600 A600 L700 S800 A800 -1200", health.Alive, false},
		{"success of a flow on a dead server", "S100 T100 T210 L300", health.Alive, false},
		{"two inconclusive checks", "S100 D100 D210", health.Unreachable, false},
		{"silent check after inconclusive ones", "S100 D100 D210 T410", health.Dead, false},
		{"interval between checks of an unreachable server", "S100 D100 D210 -400", health.Unreachable, false},
		{"unreachable server answers a check", "S100 D100 D210 A410", health.Suspected, false},
		{"success of a flow on an unreachable server", "S100 D100 D210 L300", health.Alive, false},
		{"refused check is always conclusive", "S100 D100 R210", health.Dead, true},
		{"dead server that a peer reaches", "S100 T100 T210 V300", health.Unreachable, false},
		{"server whose process has ended, reached by a peer", "S100 R100 R210 V300", health.Dead, true},
		{"success after a failed check", "S100 T100 L150 -210", health.Alive, false},
	}
	for _, c := range cases {
		var h health.Health
		for _, step := range strings.Fields(c.steps) {
			applyStep(t, c.name, &h, step)
		}
		if h.State() != c.want || h.ProcessEnded() != c.processEnded {
			t.Errorf("%s: steps %s give %s, process ended %v; want %s, %v", c.name, c.steps, h.State(), h.ProcessEnded(), c.want, c.processEnded)
		}
	}
}

// applyStep applies one step of a TestHealth case.
func applyStep(t *testing.T, name string, h *health.Health, step string) {
	offset, err := time.ParseDuration(step[1:] + "ms")
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(offset)
	results := map[byte]health.Result{'A': health.Answered, 'R': health.Refused, 'T': health.Silent, 'D': health.Silent}
	switch step[0] {
	case 'S':
		h.RecordFailure(now.Add(-80*time.Millisecond), now)
	case 'L':
		h.RecordSuccess(now)
	case 'V':
		h.RecordPeerSuccess()
	case '-':
		if h.StartCheckIfDue(now) {
			t.Errorf("%s: a check is due at %s", name, step)
		}
	default:
		if !h.StartCheckIfDue(now) {
			t.Errorf("%s: no check is due at %s", name, step)
		}
		h.RecordCheck(results[step[0]], step[0] == 'D', now)
	}
}

func TestOneCheckAtATime(t *testing.T) {
	var h health.Health
	h.RecordFailure(start, start)
	if !h.StartCheckIfDue(start) || h.StartCheckIfDue(start.Add(time.Second)) {
		t.Error("a second check starts before the first has ended")
	}
}
