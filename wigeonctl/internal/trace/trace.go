// Package trace reconstructs the history of a flow from the logs of several balancers.
//
// It reads the JSON lines that balancers write. Text before the JSON object, as log
// collectors add it, may end in the name of the instance. The history contains the lines of
// the flow, and context that explains them: the state of the flow's backend servers, and
// events of the balancers that made the decisions, at about the same time. Lines are sorted
// by time. The clocks of instances may differ, so each decision is shown with its revision.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is the maximum time between a line of the flow and its context. A dead
	// backend server is detected within one second, and an instance accepts flows within two
	// seconds of its start. Lines of the flow's backend servers may also be anywhere between
	// the flow's first and last line.
	contextWindow = 3 * time.Second
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 1 << 20
)

// Field is a key and its value in a log line.
type Field struct {
	Key, Value string
}

// Line is a line of a log. Instance is the balancer that wrote it.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Fields   []Field
	// BelongsToFlow is true for lines of the flow and false for context.
	BelongsToFlow bool
}

// Get returns the value of a field, empty if the line does not have it.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// String formats the line for operators. Lines of the flow start with an asterisk.
func (l *Line) String() string {
	mark := " "
	if l.BelongsToFlow {
		mark = "*"
	}
	text := fmt.Sprintf("%s %s %s %s", mark, l.At.UTC().Format("15:04:05.000000"), l.Instance, l.Message)
	for _, field := range l.Fields {
		text += " " + field.Key + "=" + field.Value
	}
	return text
}

// Log holds the lines of one or more logs.
type Log struct {
	lines []Line
	// Skipped counts lines that are not a JSON object with a time.
	Skipped int
}

// Read reads a log and adds its lines. The name is used as that of the instance until a line
// about the instance's start contains the real one. Lines that cannot be parsed are counted in
// Skipped. Read returns an error if the source cannot be read or a line is longer than
// maxLineBytes.
func (l *Log) Read(name string, source io.Reader) error {
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parseLine(lines.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		if line.Message == "entry: started" {
			name = line.Get("Instance")
		}
		if line.Instance == "" {
			line.Instance = name
		}
		l.lines = append(l.lines, line)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("trace: read %s: %w", name, err)
	}
	return nil
}

// parseLine parses a line, and reports whether it is a JSON object with a time.
func parseLine(text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	line := Line{}
	if words := strings.Fields(string(text[:brace])); len(words) > 0 {
		line.Instance = words[len(words)-1]
	}
	decoder := json.NewDecoder(bytes.NewReader(text[brace:]))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return Line{}, false
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		line.setField(fmt.Sprint(key), fmt.Sprint(value))
	}
	return line, !line.At.IsZero()
}

func (l *Line) setField(key, value string) {
	switch key {
	case "time":
		// If the time cannot be parsed it stays zero, and the line is skipped.
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		l.Message = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}

// FlowHistory returns the lines of a flow and their context, sorted by time, or nil if there
// is no line of the flow. The flow is identified by the address and port of its caller, or by
// those of both ends as in "a:1>b:2".
func (l *Log) FlowHistory(flow string) []Line {
	var history []Line
	backends, instances := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		name := line.Get("Flow")
		caller, _, _ := strings.Cut(name, ">")
		if name != flow && caller != flow {
			continue
		}
		line.BelongsToFlow = true
		history = append(history, line)
		instances[line.Instance] = true
		if backend := line.Get("Backend"); backend != "" {
			backends[backend] = true
		}
	}
	if len(history) == 0 {
		return nil
	}
	slices.SortStableFunc(history, func(a, b Line) int { return a.At.Compare(b.At) })
	flowLines := history
	first, last := flowLines[0].At.Add(-contextWindow), flowLines[len(flowLines)-1].At.Add(contextWindow)
	for _, line := range l.lines {
		if line.At.Before(first) || line.At.After(last) || line.Get("Flow") != "" {
			continue
		}
		if backends[line.Get("Backend")] || isContext(&line) && instances[line.Instance] && isNear(flowLines, line.At) {
			history = append(history, line)
		}
	}
	slices.SortStableFunc(history, func(a, b Line) int { return a.At.Compare(b.At) })
	return history
}

// isNear reports whether a time is within contextWindow of one of the flow's lines.
func isNear(flowLines []Line, at time.Time) bool {
	return slices.ContainsFunc(flowLines, func(line Line) bool { return line.At.Sub(at).Abs() <= contextWindow })
}

// contextPrefixes are the prefixes of messages about events of a balancer, as opposed to those
// of a flow or backend server.
var contextPrefixes = []string{"entry: ", "state: ", "source: ", "tagged: paused", "tagged: failure domain", "logs: "}

func isContext(line *Line) bool {
	return slices.ContainsFunc(contextPrefixes, func(prefix string) bool { return strings.HasPrefix(line.Message, prefix) })
}

// Outcome describes the last decision on the flow, and advises where to look for its cause.
func Outcome(history []Line) string {
	for index := len(history) - 1; index >= 0; index-- {
		if line := &history[index]; line.BelongsToFlow {
			return fmt.Sprintf("%s by %s at revision %s: %s. %s", strings.TrimPrefix(line.Message, "tagged: "),
				line.Instance, orUnknown(line.Get("Revision")), orUnknown(line.Get("Reason")), advice(line))
		}
	}
	return "no line of the flow"
}

func orUnknown(text string) string {
	if text == "" {
		return "unknown"
	}
	return text
}

// advice returns where to look for the cause of a decision.
func advice(line *Line) string {
	reason := line.Get("Reason")
	switch {
	case line.Message == "tagged: flow put off":
		return "The backend servers had no free slots, see Busy and Slots; the caller retries by itself."
	case strings.Contains(reason, "dead") || strings.Contains(reason, "gone") || strings.Contains(reason, "anew"):
		return "The lines of the backend server above show why it was considered dead."
	case strings.Contains(reason, "no such route"):
		return "Compare Version with the versions published at that time."
	case line.Message == "tagged: flow placed" || line.Message == "tagged: flow placed again":
		return "No later decision was logged; see the log of the backend server."
	}
	return "See docs/OPERATIONS.md."
}
