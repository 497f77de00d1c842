package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"limpethall.dev/kernel/wire"
)

// errNoHall reports a question without the hall that it is for.
var errNoHall = errors.New("--hall is missing: specify the address of the hall for other hosts, as on the roster")

// WhereOptions describe a request and the hall that is asked about it.
type WhereOptions struct {
	// Hall is the host and port at which the hall serves other hosts.
	Hall string
	// Target is the host name and path of the request, such as "desk.example/orders/".
	Target    string
	Workspace string
	Program   string
	Object    string
	// Prompt lists the parts of the prompt as ID:TOKENS.
	Prompt []string
}

type whereCandidate struct {
	Server   string  `json:"server"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version,omitempty"`
	Expected float64 `json:"expectedMs"`
	Queue    float64 `json:"queueMs"`
	Read     float64 `json:"readMs"`
	Way      float64 `json:"zoneMs"`
	Slowness float64 `json:"slowness"`
	Excluded string  `json:"excluded,omitempty"`
}

type whereResult struct {
	Route      string           `json:"route"`
	Service    string           `json:"service"`
	Server     string           `json:"server"`
	Reason     string           `json:"reason"`
	Refusal    string           `json:"refusal,omitempty"`
	ListAge    int64            `json:"listAgeMs"`
	Candidates []whereCandidate `json:"candidates"`
}

// Where asks a running hall where it would send the request now, and prints the answer. The
// hall sends and counts no request.
func Where(ctx context.Context, options WhereOptions, output io.Writer, asJSON bool) error {
	if options.Hall == "" {
		return errNoHall
	}
	host, path, _ := strings.Cut(options.Target, "/")
	client := &http.Client{Timeout: describeTimeout}
	reply, err := wire.NewRoutingProtobufClient("http://"+options.Hall, client).Explain(ctx, &wire.ExplainRequest{
		Hostname: host, Path: "/" + path, Workspace: options.Workspace, Program: options.Program, Object: options.Object, Prompt: options.Prompt,
	})
	if err != nil {
		return fmt.Errorf("hall %s does not explain the request: %w", options.Hall, err)
	}
	result := whereResult{
		Route: reply.GetRoute(), Service: reply.GetService(), Server: reply.GetServer(), Reason: reply.GetReason(), Refusal: reply.GetRefusal(),
		ListAge: reply.GetListAgeMilliseconds(), Candidates: []whereCandidate{},
	}
	for _, c := range reply.GetCandidates() {
		result.Candidates = append(result.Candidates, whereCandidate{
			Server: c.GetServer(), Zone: c.GetZone(), Version: c.GetVersion(), Expected: c.GetExpectedMilliseconds(), Queue: c.GetQueueMilliseconds(),
			Read: c.GetReadMilliseconds(), Way: c.GetZoneMilliseconds(), Slowness: c.GetSlowness(), Excluded: c.GetExcluded(),
		})
	}
	t := &Tool{output: output, asJSON: asJSON}
	if asJSON {
		return t.printJSON(result)
	}
	return t.printWhere(result)
}

// printWhere prints the answer as text. Times are in milliseconds.
func (t *Tool) printWhere(result whereResult) error {
	table := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "route\t%s\nservice\t%s\n", orNone(result.Route), orNone(result.Service))
	if result.Refusal != "" {
		_, _ = fmt.Fprintf(table, "refused\t%s\n", result.Refusal)
	} else {
		_, _ = fmt.Fprintf(table, "server\t%s (%s)\n", result.Server, result.Reason)
	}
	if len(result.Candidates) > 0 {
		_, _ = fmt.Fprintf(table, "list age\t%v\n\nserver\tzone\tversion\texpected ms\tqueue\tread\tzone\tslowness\texcluded\n", time.Duration(result.ListAge)*time.Millisecond)
	}
	for _, c := range result.Candidates {
		if c.Excluded != "" && c.Expected == 0 {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t-\t-\t-\t-\t-\t%s\n", c.Server, c.Zone, c.Version, c.Excluded)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%s\n", c.Server, c.Zone, c.Version, c.Expected, c.Queue, c.Read, c.Way, c.Slowness, c.Excluded)
	}
	return table.Flush()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
