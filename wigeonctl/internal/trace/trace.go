// Package trace tells one flow's story from the logs of several balancers.
//
// It reads JSON lines as balancers write them, with or without a word before the brace
// that names the instance, as log collectors put it. Kept are the lines of the flow, and
// those that explain them: what was believed of its backend servers, and what happened to
// the balancers that decided, shortly before. Lines are ordered by their time; clocks of
// instances may differ, so that the revision is shown with each decision.
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
	// nearSpan is how far from a flow's line another one may be that explains it: a dead
	// server is found within a second, and an instance that starts takes flows within
	// two. Lines of the flow's backend servers may be anywhere between.
	nearSpan = 3 * time.Second
	// maxLineBytes bounds a line.
	maxLineBytes = 1 << 20
)

// Field is one key and value of a line.
type Field struct {
	Key, Value string
}

// Line is one line of a log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Fields   []Field
	// Own lines are the flow's, the others explain them.
	Own bool
}

// Get returns a field's value, empty if the line has none.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// String returns the line as a person reads it.
func (l *Line) String() string {
	mark := " "
	if l.Own {
		mark = "*"
	}
	text := fmt.Sprintf("%s %s %s %s", mark, l.At.UTC().Format("15:04:05.000000"), l.Instance, l.Message)
	for _, field := range l.Fields {
		text += " " + field.Key + "=" + field.Value
	}
	return text
}

// Log is what was read of one or several sources.
type Log struct {
	lines []Line
	// Skipped counts lines that are no JSON objects with a time.
	Skipped int
}

// Read adds a source. Its name stands for the instance until a line tells it.
func (l *Log) Read(name string, source io.Reader) error {
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parse(lines.Bytes())
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

// parse reads a line.
func parse(text []byte) (Line, bool) {
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
		line.set(fmt.Sprint(key), fmt.Sprint(value))
	}
	return line, !line.At.IsZero()
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// A time that cannot be read stays zero, and the line is skipped.
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		l.Message = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}

// Story returns the lines of a flow and those that explain it, in order. The flow is
// named by its caller's address and port, or by both its ends as in "a:1>b:2".
func (l *Log) Story(flow string) []Line {
	var story []Line
	backends, instances := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		name := line.Get("Flow")
		caller, _, _ := strings.Cut(name, ">")
		if name != flow && caller != flow {
			continue
		}
		line.Own = true
		story = append(story, line)
		instances[line.Instance] = true
		if backend := line.Get("Backend"); backend != "" {
			backends[backend] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	own := story
	first, last := own[0].At.Add(-nearSpan), own[len(own)-1].At.Add(nearSpan)
	for _, line := range l.lines {
		if line.At.Before(first) || line.At.After(last) || line.Get("Flow") != "" {
			continue
		}
		if backends[line.Get("Backend")] || explains(&line) && instances[line.Instance] && near(own, line.At) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// near reports whether a time is near one of the flow's lines.
func near(own []Line, at time.Time) bool {
	return slices.ContainsFunc(own, func(line Line) bool { return line.At.Sub(at).Abs() <= nearSpan })
}

// explaining are the beginnings of messages that say what happened to a balancer.
var explaining = []string{"entry: ", "state: ", "source: ", "tagged: paused", "tagged: failure domain", "logs: "}

func explains(line *Line) bool {
	return slices.ContainsFunc(explaining, func(prefix string) bool { return strings.HasPrefix(line.Message, prefix) })
}

// Outcome says what the last decision on the flow was, and where to look next.
func Outcome(story []Line) string {
	for index := len(story) - 1; index >= 0; index-- {
		if line := &story[index]; line.Own {
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

// advice says where a decision's cause is to be looked for.
func advice(line *Line) string {
	reason := line.Get("Reason")
	switch {
	case line.Message == "tagged: flow put off":
		return "Busy against Slots says how full the servers were; the caller tried again by itself."
	case strings.Contains(reason, "dead") || strings.Contains(reason, "gone") || strings.Contains(reason, "anew"):
		return "The lines of the backend server above say why it was taken for dead."
	case strings.Contains(reason, "no such route"):
		return "Compare Version with what was published when."
	case line.Message == "tagged: flow placed" || line.Message == "tagged: flow placed again":
		return "Nothing was decided later: look at the backend server's own log."
	}
	return "See docs/OPERATIONS.md."
}
