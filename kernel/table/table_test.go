package table_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/table"
)

func TestParseReportsAllProblemsWithPositions(t *testing.T) {
	cases := []struct {
		name   string
		format string
		text   string
		want   []string
	}{
		{"good", "toml", "[[workspace]]\nworkspace = \"a\"\nweight = 1\nrate = 2.5\nburst = 3\nbudget = 4\n", nil},
		{"several", "toml", "[[workspace]]\nworkspace = \"A b\"\nweight = 0\nrate = -1.0\nburst = 0\nbudget = 0\n", []string{
			`2:1: workspace "A b": workspace: "A b" is not a name: use lower-case letters, digits, dots and dashes, at most 63`,
			`3:1: workspace "A b": weight: 0 is not allowed, use 1 to 1000`,
			`4:1: workspace "A b": rate: -1 is not allowed, use more than 0 and at most 1000000 requests per second`,
			`5:1: workspace "A b": burst: 0 is not allowed, use 1 to 1000000 requests`,
			`6:1: workspace "A b": budget: 0 is not allowed, use 1 or more tokens`,
		}},
		{"unknown key", "toml", "[[workspace]]\nworkspace = \"a\"\nweight = 1\nrate = 1.0\nburst = 1\nbudget = 1\ncolor = 3\n", []string{`7:1: workspace.color: this key is not known`}},
		{"twice", "csv", "workspace,weight,rate,burst,budget,models\na,1,1,1,1,\na,1,1,1,1,\n", []string{`3:1: workspace "a": workspace: is declared more than once`}},
		{"not numbers", "csv", "workspace,weight,rate,burst,budget,models\na,x,y,1,1,\n", []string{
			`2:3: workspace "a": weight: "x" is not a whole number`, `2:5: workspace "a": rate: "y" is not a number`,
		}},
		{"header", "csv", "name,weight\n", []string{`1:1: the first line must be workspace,weight,rate,burst,budget,models`}},
		{"syntax", "toml", "[[workspace]\n", []string{"2:12: expected end of table array name delimiter ']', but got '\\n' instead"}},
	}
	for _, c := range cases {
		parse, err := table.Parsers.Find(c.format)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parse([]byte(c.text))
		var got []string
		var problems *table.ProblemsError
		if errors.As(err, &problems) {
			for _, problem := range problems.Problems() {
				got = append(got, problem.String())
			}
		}
		if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", c.want) {
			t.Errorf("%s:\n got %q\nwant %q", c.name, got, c.want)
		}
	}
}

func TestServiceMatch(t *testing.T) {
	service := table.NewService("s", []table.Route{
		table.NewRoute("POST", "/lookup", true, false), table.NewRoute("", "/public/", false, true),
	})
	cases := []struct {
		method, path     string
		idempotent, open bool
	}{
		{"POST", "/lookup", true, false},
		{"POST", "/lookup/x", true, false},
		{"POST", "/lookups", false, false},
		{"GET", "/anything", true, false},
		{"HEAD", "/anything", true, false},
		{"POST", "/anything", false, false},
		{"PUT", "/anything", false, false},
		{"DELETE", "/anything", false, false},
		{"POST", "/public/x", false, true},
		{"GET", "/publicly", true, false},
	}
	for _, c := range cases {
		route := service.Match(c.method, c.path)
		if got := [2]bool{route.Idempotent(), route.Open()}; got != [2]bool{c.idempotent, c.open} {
			t.Errorf("%s %s: got idempotent and open %v, want %v", c.method, c.path, got, [2]bool{c.idempotent, c.open})
		}
	}
}

// TestStoredChangesProduceSameTable checks that random changes produce the same
// table if applied directly, after encoding and decoding, and if the table is
// restored from a snapshot.
func TestStoredChangesProduceSameTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		direct, stored := table.New(), table.New()
		for number := range rapid.IntRange(1, 20).Draw(rt, "changes") {
			change := table.NewChange(uint64(number+1), fmt.Sprint(number), "anna", time.Unix(int64(number), 0).UTC(), drawEdits(rt, direct))
			data, err := json.Marshal(change)
			if err != nil {
				rt.Fatal(err)
			}
			var decoded table.Change
			if err := json.Unmarshal(data, &decoded); err != nil {
				rt.Fatal(err)
			}
			if direct, err = direct.Apply(change); err != nil {
				rt.Fatal(err)
			}
			if stored, err = stored.Apply(decoded); err != nil {
				rt.Fatal(err)
			}
		}
		snapshot, err := direct.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		restored, err := table.Restore(snapshot)
		if err != nil {
			rt.Fatal(err)
		}
		for name, other := range map[string]*table.Table{"stored": stored, "restored": restored} {
			if got, want := other.Digest(), direct.Digest(); got != want {
				rt.Fatalf("%s: got digest %s, want %s", name, got, want)
			}
		}
	})
}

func drawEdits(rt *rapid.T, current *table.Table) []table.Edit {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	switch rapid.IntRange(0, 7).Draw(rt, "kind") {
	case 0:
		return []table.Edit{table.NewPutRow(table.NewRow(name.Draw(rt, "row"), rapid.Int64Range(1, 9).Draw(rt, "weight"), 1.5, 2, 3, []string{"m"}))}
	case 1:
		return []table.Edit{table.NewRemoveRow(name.Draw(rt, "row"))}
	case 2:
		return []table.Edit{table.NewSetZone(name.Draw(rt, "zone"), rapid.Bool().Draw(rt, "out"))}
	case 3:
		return []table.Edit{table.NewSetServer(name.Draw(rt, "server"), rapid.Bool().Draw(rt, "out"))}
	case 4:
		service := table.NewService(name.Draw(rt, "service"), []table.Route{table.NewRoute("GET", "/x", true, rapid.Bool().Draw(rt, "open"))})
		return []table.Edit{table.NewPutService(service)}
	case 5:
		return []table.Edit{table.NewPutAssignment(table.NewAssignment(name.Draw(rt, "server"), []string{"m", "n"}))}
	case 6:
		return []table.Edit{table.NewRemoveAssignment(name.Draw(rt, "server"))}
	default:
		workspace := name.Draw(rt, "row")
		if _, found := current.Row(workspace); !found {
			return nil
		}
		return []table.Edit{table.NewAddKey(key.Restore(fmt.Sprint(current.Revision()), workspace, "salt", "hash"))}
	}
}

func TestApplyRequiresNextRevision(t *testing.T) {
	for _, revision := range []uint64{0, 2, 7} {
		_, err := table.New().Apply(table.NewChange(revision, "x", "anna", time.Time{}, nil))
		var revisionError *table.RevisionError
		if !errors.As(err, &revisionError) {
			t.Errorf("change %d on revision 0: got %v, want a RevisionError", revision, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[workspace]]\nworkspace = \"a\"\n"))
	f.Add([]byte("workspace,weight,rate,burst,budget,models\na,1,1,1,1,m n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parse := range []table.Parser{table.ParseTOML, table.ParseCSV} {
			declaration, err := parse(data)
			var problems *table.ProblemsError
			if err != nil && !errors.As(err, &problems) {
				t.Errorf("got error %v, want a ProblemsError", err)
			}
			for _, row := range declaration.Rows() {
				if found := row.Problems(); len(found) > 0 {
					t.Errorf("accepted a row with problems %v", found)
				}
			}
		}
	})
}
