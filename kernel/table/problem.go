package table

import (
	"fmt"
	"strings"
)

// Problem is a validation error of a table, with its position if that is known.
type Problem struct {
	line      int
	column    int
	workspace string
	field     string
	message   string
}

// NewProblem returns a problem of a field without a position.
func NewProblem(field, message string) Problem {
	return Problem{field: field, message: message}
}

// WithPosition returns a copy with a position and the row's workspace.
func (p Problem) WithPosition(line, column int, workspace string) Problem {
	p.line = line
	p.column = column
	p.workspace = workspace
	return p
}

// Line returns the 1-based line, or zero if it is unknown.
func (p Problem) Line() int { return p.line }

// Column returns the 1-based column, or zero if it is unknown.
func (p Problem) Column() int { return p.column }

// String returns the problem on one line, with the position first.
func (p Problem) String() string {
	var line strings.Builder
	if p.line > 0 {
		fmt.Fprintf(&line, "%d:%d: ", p.line, p.column)
	}
	if p.workspace != "" {
		fmt.Fprintf(&line, "workspace %q: ", p.workspace)
	}
	if p.field != "" {
		fmt.Fprintf(&line, "%s: ", p.field)
	}
	line.WriteString(p.message)
	return line.String()
}

// ProblemsError reports all problems of a table.
type ProblemsError struct{ problems []Problem }

// NewProblemsError returns an error that reports the given problems.
func NewProblemsError(problems []Problem) *ProblemsError {
	return &ProblemsError{problems: problems}
}

// Error returns the problems, one per line.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Problems returns the individual problems.
func (e *ProblemsError) Problems() []Problem { return e.problems }
