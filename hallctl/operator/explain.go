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

// decisionFields are the fields of a log line by which a decision is found.
var decisionFields = []string{"request", "requestId", "program", "call", "previous"}

// columns are the fields that begin what is printed of a line.
var columns = []string{"time", "logger", "msg", "level"}

// outcomeFields follow them, in this order, where a line has them.
var outcomeFields = []string{"status", "server", "reason"}

// Explain prints the decisions that log files hold for a request, a program or
// a call, in order of time.
func Explain(id string, files []string, output io.Writer, asJSON bool) error {
	t := &Tool{output: output, asJSON: asJSON}
	var found []map[string]any
	for _, path := range files {
		lines, err := decisions(path, id)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b map[string]any) int { return timeOf(a).Compare(timeOf(b)) })
	if t.asJSON {
		return t.printJSON(found)
	}
	for _, line := range found {
		_, _ = fmt.Fprintln(t.output, lineText(line))
	}
	if len(found) == 0 {
		return fmt.Errorf("no decision for %s in %d files: name the JSON logs of all halls", id, len(files))
	}
	return nil
}

// lineText returns a line as text, with all its fields.
func lineText(line map[string]any) string {
	text := fmt.Sprintf("%s  %-8v  %-22v", timeOf(line).Format(time.RFC3339Nano), orEmpty(line["logger"]), line["msg"])
	var others []string
	for name := range line {
		if !slices.Contains(columns, name) && !slices.Contains(outcomeFields, name) {
			others = append(others, name)
		}
	}
	slices.Sort(others)
	for _, name := range slices.Concat(outcomeFields, others) {
		if value, found := line[name]; found {
			text += fmt.Sprintf("  %s %v", name, value)
		}
	}
	return text
}

func orEmpty(value any) any {
	if value == nil {
		return ""
	}
	return value
}

// timeOf reads the time of a line, which is text or Unix milliseconds.
func timeOf(line map[string]any) time.Time {
	switch value := line["time"].(type) {
	case string:
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			return at
		}
	case float64:
		return time.UnixMicro(int64(value * 1000)).UTC()
	}
	return time.Time{}
}

func decisions(path, id string) ([]map[string]any, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var found []map[string]any
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if slices.ContainsFunc(decisionFields, func(field string) bool { return isOf(line[field], id) }) {
			found = append(found, line)
		}
	}
	return found, lines.Err()
}

// isOf reports whether a field names the id, alone or behind its workspace.
func isOf(value any, id string) bool {
	text, isText := value.(string)
	return isText && (text == id || strings.HasSuffix(text, "/"+id))
}
