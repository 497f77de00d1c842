package table

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"limpethall.dev/kernel/registry"
)

// Declaration is the content of a table file: the desired rows, plain services
// and model assignments.
type Declaration struct {
	rows        []Row
	services    []Service
	assignments []Assignment
	// rowsOnly is set for formats that can declare rows only. Services and
	// assignments then remain unchanged.
	rowsOnly bool
}

// Rows returns the declared rows.
func (d Declaration) Rows() []Row { return d.rows }

// Services returns the declared plain services.
func (d Declaration) Services() []Service { return d.services }

// Edits returns the edits that bring the current table to the declared state.
func (d Declaration) Edits(current *Table) []Edit {
	if d.rowsOnly {
		return current.Diff(d.rows, current.Services(), current.Assignments())
	}
	return current.Diff(d.rows, d.services, d.assignments)
}

// Parser parses a table file. An invalid file gives a *ProblemsError that lists
// all problems found.
type Parser func(data []byte) (Declaration, error)

// Parsers is the registry of table file formats by file extension.
var Parsers = registry.New[Parser]("table format")

func init() {
	Parsers.Register("toml", ParseTOML)
	Parsers.Register("csv", ParseCSV)
}

type declarationDocument struct {
	Workspaces []rowDocument        `toml:"workspace"`
	Services   []serviceDocument    `toml:"service"`
	Servers    []assignmentDocument `toml:"server"`
}

// ParseTOML parses a TOML table file with [[workspace]], [[service]] and
// [[server]] entries.
func ParseTOML(data []byte) (Declaration, error) {
	var document declarationDocument
	metadata, err := toml.Decode(string(data), &document)
	if err != nil {
		return Declaration{}, NewProblemsError([]Problem{tomlProblem(err)})
	}
	source := newSourceLines(string(data))
	var problems []Problem
	for _, key := range metadata.Undecoded() {
		line := source.keyLine(key[len(key)-1])
		problems = append(problems, NewProblem(key.String(), "this key is not known").WithPosition(line, 1, ""))
	}
	var declaration Declaration
	seen := make(map[string]bool)
	for index, entry := range document.Workspaces {
		row := entry.toRow()
		line := source.entryLine("[[workspace]]", index)
		problems = append(problems, validateRow(row, seen, func(field string) (int, int) { return source.fieldPosition(line, field) })...)
		declaration.rows = append(declaration.rows, row)
	}
	for _, entry := range document.Services {
		problems = append(problems, validateService(entry)...)
		declaration.services = append(declaration.services, entry.toService())
	}
	for _, entry := range document.Servers {
		problems = append(problems, validateAssignment(entry)...)
		declaration.assignments = append(declaration.assignments, entry.toAssignment())
	}
	if len(problems) > 0 {
		return Declaration{}, NewProblemsError(problems)
	}
	return declaration, nil
}

func validateAssignment(entry assignmentDocument) []Problem {
	var problems []Problem
	if entry.Server == "" {
		problems = append(problems, NewProblem("server.name", "is missing"))
	}
	if len(entry.Models) == 0 {
		problems = append(problems, NewProblem("server.models", fmt.Sprintf("is missing for server %q: list the models to load on it", entry.Server)))
	}
	return problems
}

func validateService(entry serviceDocument) []Problem {
	var problems []Problem
	if !namePattern.MatchString(entry.Name) {
		problems = append(problems, NewProblem("service.name", fmt.Sprintf("%q is not a name", entry.Name)))
	}
	for _, route := range entry.Routes {
		if !strings.HasPrefix(route.Path, "/") {
			problems = append(problems, NewProblem("service.route.path", fmt.Sprintf("%q must start with /", route.Path)))
		}
	}
	return problems
}

func validateRow(row Row, seen map[string]bool, position func(field string) (int, int)) []Problem {
	var problems []Problem
	for _, problem := range row.Problems() {
		line, column := position(problem.field)
		problems = append(problems, problem.WithPosition(line, column, row.workspace))
	}
	if seen[row.workspace] {
		line, column := position("workspace")
		problems = append(problems, NewProblem("workspace", "is declared more than once").WithPosition(line, column, row.workspace))
	}
	seen[row.workspace] = true
	return problems
}

func tomlProblem(err error) Problem {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return NewProblem("", parseError.Message).WithPosition(parseError.Position.Line, parseError.Position.Col, "")
	}
	return NewProblem("", err.Error())
}

// sourceLines locates entries and keys in a TOML file. The decoder reports no
// positions for values that are well-formed but invalid.
type sourceLines struct{ lines []string }

func newSourceLines(text string) sourceLines {
	return sourceLines{lines: strings.Split(text, "\n")}
}

// entryLine returns the 1-based line of the header's index-th occurrence, with
// index counting from zero, or 1 if there is none.
func (s sourceLines) entryLine(header string, index int) int {
	for number, line := range s.lines {
		if strings.TrimSpace(line) != header {
			continue
		}
		if index == 0 {
			return number + 1
		}
		index--
	}
	return 1
}

// fieldPosition returns the 1-based line and column of a key in the entry whose
// header is at line, or the start of that line if the entry lacks the key.
func (s sourceLines) fieldPosition(line int, name string) (int, int) {
	for number := line; number < len(s.lines); number++ {
		trimmed := strings.TrimSpace(s.lines[number])
		if strings.HasPrefix(trimmed, "[") {
			break
		}
		if keyName(trimmed) == name {
			return number + 1, strings.Index(s.lines[number], name) + 1
		}
	}
	return line, 1
}

func (s sourceLines) keyLine(name string) int {
	for number, line := range s.lines {
		if keyName(strings.TrimSpace(line)) == name {
			return number + 1
		}
	}
	return 1
}

func keyName(line string) string {
	name, _, _ := strings.Cut(line, "=")
	return strings.TrimSpace(name)
}

var csvColumns = []string{"workspace", "weight", "rate", "burst", "budget", "models"}

// ParseCSV parses a CSV table file, which declares rows only. Its header must be
// workspace,weight,rate,burst,budget,models; models are separated by spaces.
func ParseCSV(data []byte) (Declaration, error) {
	reader := csv.NewReader(strings.NewReader(string(data)))
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return Declaration{}, NewProblemsError([]Problem{csvProblem(err)})
	}
	if strings.Join(header, ",") != strings.Join(csvColumns, ",") {
		message := fmt.Sprintf("the first line must be %s", strings.Join(csvColumns, ","))
		return Declaration{}, NewProblemsError([]Problem{NewProblem("", message).WithPosition(1, 1, "")})
	}
	declaration := Declaration{rowsOnly: true}
	var problems []Problem
	seen := make(map[string]bool)
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			problems = append(problems, csvProblem(err))
			if len(record) != len(csvColumns) {
				continue
			}
		}
		row, found := csvRow(reader, record)
		problems = append(problems, found...)
		if len(found) == 0 {
			problems = append(problems, validateRow(row, seen, func(field string) (int, int) { return csvPosition(reader, field) })...)
		}
		declaration.rows = append(declaration.rows, row)
	}
	if len(problems) > 0 {
		return Declaration{}, NewProblemsError(problems)
	}
	return declaration, nil
}

func csvProblem(err error) Problem {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		return NewProblem("", parseError.Err.Error()).WithPosition(parseError.Line, parseError.Column, "")
	}
	return NewProblem("", err.Error())
}

func csvPosition(reader *csv.Reader, field string) (int, int) {
	for index, name := range csvColumns {
		if name == field {
			return reader.FieldPos(index)
		}
	}
	return reader.FieldPos(0)
}

func csvRow(reader *csv.Reader, record []string) (Row, []Problem) {
	var problems []Problem
	parseInteger := func(index int) int64 {
		value, err := strconv.ParseInt(record[index], 10, 64)
		if err != nil {
			line, column := reader.FieldPos(index)
			problems = append(problems, NewProblem(csvColumns[index], fmt.Sprintf("%q is not a whole number", record[index])).WithPosition(line, column, record[0]))
		}
		return value
	}
	weight := parseInteger(1)
	rate, err := strconv.ParseFloat(record[2], 64)
	if err != nil {
		line, column := reader.FieldPos(2)
		problems = append(problems, NewProblem("rate", fmt.Sprintf("%q is not a number", record[2])).WithPosition(line, column, record[0]))
	}
	return NewRow(record[0], weight, rate, parseInteger(3), parseInteger(4), strings.Fields(record[5])), problems
}
