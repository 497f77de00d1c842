// Package standin_test runs the programs as processes, as a user would.
package standin_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	hall "limpethall.dev/hall/cmd/hall/cmds"
	hallctl "limpethall.dev/hallctl/cmd/hallctl/cmds"
	limpet "limpethall.dev/limpet/cmd/limpet/cmds"
	standin "limpethall.dev/standin/cmd/standin/cmds"
)

// readyTime bounds the wait for a process; it only matters if one is broken.
const readyTime = time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hall": hall.Main, "hallctl": hallctl.Main, "limpet": limpet.Main, "standin": standin.Main,
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, negated bool, args []string){
			"ready":  ready,
			"fetch":  fetch,
			"listen": localize,
		},
	})
}

// setup gives each script free ports and the examples.
func setup(env *testscript.Env) error {
	for _, name := range []string{"KV", "ENGINE", "SERVICE", "PUBLIC", "PEER", "LIMPET1", "LIMPET2"} {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		env.Setenv(name, socket.Addr().String())
		if err := socket.Close(); err != nil {
			return err
		}
	}
	examples, err := filepath.Glob("../examples/*")
	if err != nil {
		return err
	}
	for _, path := range examples {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, filepath.Base(path)), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// localize replaces the addresses in the example settings by free ones.
func localize(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := ts.ReadFile(path)
		for from, variable := range map[string]string{
			"127.0.0.1:7000": "KV", "127.0.0.1:8000": "ENGINE", "127.0.0.1:9000": "SERVICE", "127.0.0.1:8080": "PUBLIC",
			"127.0.0.1:7100": "PEER", "127.0.0.1:7200": "LIMPET1", "127.0.0.1:7201": "LIMPET2", `"10s"`: "WARMUP",
		} {
			if value := ts.Getenv(variable); value != "" {
				text = strings.ReplaceAll(text, from, value)
			}
		}
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// ready waits until an address accepts connections or, with a path, answers
// with status 200.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(readyTime)
	for time.Now().Before(deadline) {
		if isReady(args) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%v did not become ready", args)
}

func keyOf(ts *testscript.TestScript, text string) string {
	path, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return text
	}
	var created struct {
		Key string `json:"key"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(path)), &created))
	return created.Key
}

func isReady(args []string) bool {
	if len(args) == 1 {
		connection, err := net.Dial("tcp", args[0])
		if err != nil {
			return false
		}
		return connection.Close() == nil
	}
	response, err := http.Get("http://" + args[0] + args[1])
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// fetch sends a request: fetch METHOD URL KEY [BODY], and prints status and
// answer. A key of the form @FILE is read from the JSON that hallctl printed.
func fetch(ts *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 3 {
		body = args[3]
	}
	request, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+keyOf(ts, args[2]))
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	answer := new(strings.Builder)
	_, err = fmt.Fprintf(answer, "%d ", response.StatusCode)
	ts.Check(err)
	buffer := make([]byte, 1<<16)
	length, _ := response.Body.Read(buffer)
	answer.Write(buffer[:length])
	_, err = fmt.Fprintln(ts.Stdout(), answer.String())
	ts.Check(err)
}
