package operator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// idFields are the fields of a log line that are compared with the requested ID.
var idFields = []string{"request", "requestId", "program", "call", "previous"}

// leadingFields are printed first, in a fixed layout. The level is left out.
var leadingFields = []string{"time", "logger", "msg", "level"}

// outcomeFields are printed next, in this order. All other fields follow in
// alphabetical order.
var outcomeFields = []string{"status", "server", "reason"}

// Explain prints the log lines of the given files that concern the request, program
// or call with this ID, ordered by time.
func Explain(id string, paths []string, output io.Writer, asJSON bool) error {
	t := &Tool{output: output, asJSON: asJSON}
	var matches []map[string]any
	for _, path := range paths {
		lines, err := readMatchingLines(path, id)
		if err != nil {
			return err
		}
		matches = append(matches, lines...)
	}
	slices.SortStableFunc(matches, func(a, b map[string]any) int { return lineTime(a).Compare(lineTime(b)) })
	if t.asJSON {
		return t.printJSON(matches)
	}
	for _, line := range matches {
		_, _ = fmt.Fprintln(t.output, formatLine(line))
	}
	if len(matches) == 0 {
		return fmt.Errorf("no decision for %s in %d files: specify the JSON logs of all halls", id, len(paths))
	}
	return nil
}

// formatLine returns a log line as text.
func formatLine(line map[string]any) string {
	text := fmt.Sprintf("%s  %-8v  %-22v", lineTime(line).Format(time.RFC3339Nano), emptyIfNil(line["logger"]), line["msg"])
	var otherFields []string
	for name := range line {
		if !slices.Contains(leadingFields, name) && !slices.Contains(outcomeFields, name) {
			otherFields = append(otherFields, name)
		}
	}
	slices.Sort(otherFields)
	for _, name := range slices.Concat(outcomeFields, otherFields) {
		if value, present := line[name]; present {
			text += fmt.Sprintf("  %s %v", name, value)
		}
	}
	return text
}

func emptyIfNil(value any) any {
	if value == nil {
		return ""
	}
	return value
}

// lineTime returns the time of a log line, which is either an RFC 3339 string or a
// number of milliseconds since the Unix epoch. It returns the zero time if the line
// has no valid time.
func lineTime(line map[string]any) time.Time {
	switch value := line["time"].(type) {
	case string:
		parsed, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			return parsed
		}
	case float64:
		return time.UnixMicro(int64(value * 1000)).UTC()
	}
	return time.Time{}
}

// readMatchingLines returns the lines of a log file that concern the ID. Lines that
// are not JSON objects are skipped.
func readMatchingLines(path, id string) ([]map[string]any, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var matches []map[string]any
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		if slices.ContainsFunc(idFields, func(field string) bool { return matchesID(line[field], id) }) {
			matches = append(matches, line)
		}
	}
	return matches, scanner.Err()
}

// matchesID reports whether a field value is the ID, with or without the prefix
// "WORKSPACE/".
func matchesID(value any, id string) bool {
	text, isString := value.(string)
	return isString && (text == id || strings.HasSuffix(text, "/"+id))
}
