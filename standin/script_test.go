// Package standin_test runs the programs as a user would, as separate processes started
// by scripts.
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

// readyTimeout limits the wait for a process. It only expires if the process is broken.
const readyTimeout = time.Minute

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
			"ready":  waitUntilReady,
			"fetch":  sendRequest,
			"listen": replaceAddresses,
		},
	})
}

// setup sets an environment variable to a free address for each server of a script and
// copies the example files into its working directory.
func setup(env *testscript.Env) error {
	for _, variable := range []string{"KV", "ENGINE", "SERVICE", "PUBLIC", "PEER", "LIMPET1", "LIMPET2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		env.Setenv(variable, listener.Addr().String())
		if err := listener.Close(); err != nil {
			return err
		}
	}
	paths, err := filepath.Glob("../examples/*")
	if err != nil {
		return err
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, filepath.Base(path)), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// replaceAddresses implements the script command "listen FILE...". It replaces the
// addresses in settings files, and the warm-up time, by the environment variables that
// are set.
func replaceAddresses(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		content := ts.ReadFile(path)
		for placeholder, variable := range map[string]string{
			"127.0.0.1:7000": "KV", "127.0.0.1:8000": "ENGINE", "127.0.0.1:9000": "SERVICE", "127.0.0.1:8080": "PUBLIC",
			"127.0.0.1:7100": "PEER", "127.0.0.1:7200": "LIMPET1", "127.0.0.1:7201": "LIMPET2", `"10s"`: "WARMUP",
		} {
			if value := ts.Getenv(variable); value != "" {
				content = strings.ReplaceAll(content, placeholder, value)
			}
		}
		ts.Check(os.WriteFile(path, []byte(content), 0o600))
	}
}

// waitUntilReady implements the script command "ready ADDRESS [PATH]". It waits until
// the address accepts connections or, if a path is given, until a GET request returns
// status 200.
func waitUntilReady(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if isReady(args) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%v did not become ready", args)
}

// resolveKey returns the key for a key argument of sendRequest.
func resolveKey(ts *testscript.TestScript, argument string) string {
	path, isFile := strings.CutPrefix(argument, "@")
	if !isFile {
		return argument
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

// sendRequest implements the script command "fetch METHOD URL KEY [BODY]". It prints the
// status and the body of the response. If KEY has the form @FILE, the key is read from
// the JSON output of "hallctl key create".
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 3 {
		body = args[3]
	}
	request, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+resolveKey(ts, args[2]))
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	output := new(strings.Builder)
	_, err = fmt.Fprintf(output, "%d ", response.StatusCode)
	ts.Check(err)
	buffer := make([]byte, 1<<16)
	length, _ := response.Body.Read(buffer)
	output.Write(buffer[:length])
	_, err = fmt.Fprintln(ts.Stdout(), output.String())
	ts.Check(err)
}
