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

// Declaration is a table file: the rows and the plain services that an
// operator wants.
type Declaration struct {
	rows     []Row
	services []Service
	assigned []Assignment
	// rowsOnly is true for formats that can declare nothing else; these leave
	// the rest as it is.
	rowsOnly bool
}

// Rows returns the declared rows.
func (d Declaration) Rows() []Row { return d.rows }

// Services returns the declared services.
func (d Declaration) Services() []Service { return d.services }

// Edits returns what turns the current table into the declared one.
func (d Declaration) Edits(current *Table) []Edit {
	if d.rowsOnly {
		return current.Difference(d.rows, current.Services(), current.Assignments())
	}
	return current.Difference(d.rows, d.services, d.assigned)
}

// Parser reads a table file. A file with mistakes gives a *ProblemsError with
// all of them.
type Parser func(text []byte) (Declaration, error)

// Parsers lists the table formats by file extension.
var Parsers = registry.New[Parser]("table format")

func init() {
	Parsers.Register("toml", ParseTOML)
	Parsers.Register("csv", ParseCSV)
}

type fileDocument struct {
	Workspaces []rowDocument        `toml:"workspace"`
	Services   []serviceDocument    `toml:"service"`
	Servers    []assignmentDocument `toml:"server"`
}

// ParseTOML reads a table of [[workspace]], [[service]] and [[server]] entries.
func ParseTOML(text []byte) (Declaration, error) {
	var document fileDocument
	metadata, err := toml.Decode(string(text), &document)
	if err != nil {
		return Declaration{}, NewProblemsError([]Problem{tomlProblem(err)})
	}
	places := locate(string(text))
	var problems []Problem
	for _, unknown := range metadata.Undecoded() {
		line := places.lineOf(unknown[len(unknown)-1])
		problems = append(problems, NewProblem(unknown.String(), "this key is not known").At(line, 1, ""))
	}
	var declaration Declaration
	seen := make(map[string]bool)
	for index, entry := range document.Workspaces {
		row := entry.row()
		line := places.entry("[[workspace]]", index)
		problems = append(problems, rowProblems(row, seen, func(cell string) (int, int) { return places.cell(line, cell) })...)
		declaration.rows = append(declaration.rows, row)
	}
	for _, entry := range document.Services {
		problems = append(problems, serviceProblems(entry)...)
		declaration.services = append(declaration.services, entry.service())
	}
	for _, entry := range document.Servers {
		problems = append(problems, serverProblems(entry)...)
		declaration.assigned = append(declaration.assigned, entry.assignment())
	}
	if len(problems) > 0 {
		return Declaration{}, NewProblemsError(problems)
	}
	return declaration, nil
}

func serverProblems(entry assignmentDocument) []Problem {
	var problems []Problem
	if entry.Server == "" {
		problems = append(problems, NewProblem("server.name", "is missing"))
	}
	if len(entry.Models) == 0 {
		problems = append(problems, NewProblem("server.models", fmt.Sprintf("is missing for server %q: list the models that it is to hold", entry.Server)))
	}
	return problems
}

func serviceProblems(entry serviceDocument) []Problem {
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

func rowProblems(row Row, seen map[string]bool, place func(cell string) (int, int)) []Problem {
	var problems []Problem
	for _, problem := range row.Problems() {
		line, column := place(problem.cell)
		problems = append(problems, problem.At(line, column, row.workspace))
	}
	if seen[row.workspace] {
		line, column := place("workspace")
		problems = append(problems, NewProblem("workspace", "stands twice").At(line, column, row.workspace))
	}
	seen[row.workspace] = true
	return problems
}

func tomlProblem(err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return NewProblem("", parse.Message).At(parse.Position.Line, parse.Position.Col, "")
	}
	return NewProblem("", err.Error())
}

// positions finds lines of a TOML text again, which the decoder does not
// report for values that are well-formed but not allowed.
type positions struct{ lines []string }

func locate(text string) positions {
	return positions{lines: strings.Split(text, "\n")}
}

// entry returns the line, from one, of the index-th header of that name.
func (p positions) entry(header string, index int) int {
	for number, line := range p.lines {
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

// cell returns the place of a key in the entry that starts at line.
func (p positions) cell(line int, name string) (int, int) {
	for number := line; number < len(p.lines); number++ {
		trimmed := strings.TrimSpace(p.lines[number])
		if strings.HasPrefix(trimmed, "[") {
			break
		}
		if keyOf(trimmed) == name {
			return number + 1, strings.Index(p.lines[number], name) + 1
		}
	}
	return line, 1
}

func (p positions) lineOf(name string) int {
	for number, line := range p.lines {
		if keyOf(strings.TrimSpace(line)) == name {
			return number + 1
		}
	}
	return 1
}

func keyOf(line string) string {
	name, _, _ := strings.Cut(line, "=")
	return strings.TrimSpace(name)
}

var csvColumns = []string{"workspace", "weight", "rate", "burst", "budget", "models"}

// ParseCSV reads rows with the header workspace,weight,rate,burst,budget,models;
// models are separated by spaces.
func ParseCSV(text []byte) (Declaration, error) {
	reader := csv.NewReader(strings.NewReader(string(text)))
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return Declaration{}, NewProblemsError([]Problem{csvProblem(err)})
	}
	if strings.Join(header, ",") != strings.Join(csvColumns, ",") {
		text := fmt.Sprintf("the first line must be %s", strings.Join(csvColumns, ","))
		return Declaration{}, NewProblemsError([]Problem{NewProblem("", text).At(1, 1, "")})
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
			problems = append(problems, rowProblems(row, seen, func(cell string) (int, int) { return csvPlace(reader, cell) })...)
		}
		declaration.rows = append(declaration.rows, row)
	}
	if len(problems) > 0 {
		return Declaration{}, NewProblemsError(problems)
	}
	return declaration, nil
}

func csvProblem(err error) Problem {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		return NewProblem("", parse.Err.Error()).At(parse.Line, parse.Column, "")
	}
	return NewProblem("", err.Error())
}

func csvPlace(reader *csv.Reader, cell string) (int, int) {
	for index, name := range csvColumns {
		if name == cell {
			return reader.FieldPos(index)
		}
	}
	return reader.FieldPos(0)
}

func csvRow(reader *csv.Reader, record []string) (Row, []Problem) {
	var problems []Problem
	integer := func(index int) int64 {
		value, err := strconv.ParseInt(record[index], 10, 64)
		if err != nil {
			line, column := reader.FieldPos(index)
			problems = append(problems, NewProblem(csvColumns[index], fmt.Sprintf("%q is not a whole number", record[index])).At(line, column, record[0]))
		}
		return value
	}
	weight := integer(1)
	rate, err := strconv.ParseFloat(record[2], 64)
	if err != nil {
		line, column := reader.FieldPos(2)
		problems = append(problems, NewProblem("rate", fmt.Sprintf("%q is not a number", record[2])).At(line, column, record[0]))
	}
	return NewRow(record[0], weight, rate, integer(3), integer(4), strings.Fields(record[5])), problems
}
