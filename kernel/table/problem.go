package table

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a table, with its place where it is known.
type Problem struct {
	line   int
	column int
	row    string
	cell   string
	text   string
}

// NewProblem returns a problem of a cell without a place.
func NewProblem(cell, text string) Problem {
	return Problem{cell: cell, text: text}
}

// At returns the problem with its place and its row.
func (p Problem) At(line, column int, row string) Problem {
	p.line = line
	p.column = column
	p.row = row
	return p
}

// Line returns the line from one, zero if unknown.
func (p Problem) Line() int { return p.line }

// Column returns the column from one, zero if unknown.
func (p Problem) Column() int { return p.column }

// String returns the problem as one line.
func (p Problem) String() string {
	var text strings.Builder
	if p.line > 0 {
		fmt.Fprintf(&text, "%d:%d: ", p.line, p.column)
	}
	if p.row != "" {
		fmt.Fprintf(&text, "workspace %q: ", p.row)
	}
	if p.cell != "" {
		fmt.Fprintf(&text, "%s: ", p.cell)
	}
	text.WriteString(p.text)
	return text.String()
}

// ProblemsError carries everything that is wrong with a table.
type ProblemsError struct{ problems []Problem }

// NewProblemsError returns the error for a list of problems.
func NewProblemsError(problems []Problem) *ProblemsError {
	return &ProblemsError{problems: problems}
}

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Problems returns the list.
func (e *ProblemsError) Problems() []Problem { return e.problems }
