package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func service(name string, slots int, model bool) map[string]any {
	document := map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 240, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0}
	if model {
		document["Engine"] = map[string]any{"Slots": slots, "KvCapacity": 807704, "ChunkTokens": 18}
	}
	return document
}

func route(prefix, kind, serviceName string, options map[string]any) map[string]any {
	document := map[string]any{
		"Name": "r" + strings.ReplaceAll(prefix, "/", "-"), "Hostname": routeHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 2000, "TargetLatencyMs": 200,
		"Priority": 2, "Service": serviceName, "MaxAttempts": 1, "Public": false,
	}
	for name, value := range options {
		document[name] = value
	}
	return document
}

// configure writes the first configuration, with one tenant whose quota is never reached.
func configure(s *site, routes, services []any) error {
	return s.put("op/config", map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1, "RatePerS": 5000, "Burst": 5000}},
	})
}

// lateRefusal plays engines that are full and refuse some requests, while the second copy of
// some answers of one engine arrives late, where the answer to the next request on the
// connection is expected.
func lateRefusal(s *site, trouble bool) ([]string, error) {
	const (
		clients   = 48
		troubleAt = 3 * time.Second
		// The dose of `garble` with `extra late` in kovacs-magnet.toml.
		troubleFor  = 5 * time.Second
		copyPortion = 0.03
		length      = 11 * time.Second
	)
	if err := configure(s, []any{route("/pallet/", "unsafe", "trade-app", nil)}, []any{service("trade-app", 6, false)}); err != nil {
		return nil, err
	}
	var engines []*engine
	for index := range 2 {
		e, err := newEngine(s, fmt.Sprintf("i-7f3a91c%d", index), "trade-app", zones[index], 6, 3)
		if err != nil {
			return nil, err
		}
		e.work = 30 * time.Millisecond
		s.register(e)
		engines = append(engines, e)
	}
	if err := s.start(4, 4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s.record.printf("%d clients begin to send POST /pallet/ (unsafe, MaxAttempts 1) to 4 halls; 2 engines with 6 slots and 3 places in the queue", clients)
	begin := time.Now()
	var mutex sync.Mutex
	answers := make(map[string]answer)
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for number := 0; time.Since(begin) < length; number++ {
				got := send(s.halls[(client+number)%len(s.halls)].address(frontPort), attempt{method: http.MethodPost, target: "/pallet/hold", body: fmt.Sprintf("pallet %d of client %d", number, client), deadline: 2 * time.Second})
				mutex.Lock()
				answers[got.id] = got
				mutex.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(troubleAt)
	if trouble {
		s.record.printf("from now on for %s, %s sends a second, late copy of %.0f%% of its answers", troubleFor, engines[0].id, 100*copyPortion)
		engines[0].setCopies(copyPortion)
	}
	time.Sleep(troubleFor)
	engines[0].setCopies(0)
	s.record.printf("end of the disruption")
	group.Wait()
	time.Sleep(time.Second)
	return checkOnce(s, engines, answers), nil
}

// checkOnce checks that no request ran twice, and that none ran that was answered with a
// promise that it did not.
func checkOnce(s *site, engines []*engine, answers map[string]answer) []string {
	runs := make(map[string][]run)
	for _, e := range engines {
		sent, copies, refusals := e.counts()
		s.record.printf("%s: %d answers, %d of them refusals, %d late copies; %d requests run", e.id, sent, refusals, copies, len(e.allRuns()))
		for _, r := range e.allRuns() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	statuses := make(map[int]int)
	for _, got := range answers {
		statuses[got.status]++
	}
	s.record.printf("%d attempts; answers by status: %v", len(answers), statuses)
	var broken []string
	twice, refused := 0, 0
	for id, times := range runs {
		got := answers[id]
		if len(times) > 1 {
			twice++
			s.record.printf("request %s ran %d times: at %s and %s, %s apart; the client got %s", id, len(times), times[0].engine, times[1].engine, times[1].at.Sub(times[0].at).Abs().Round(time.Millisecond), got)
		}
		switch got.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			s.record.printf("request %s was answered %d and ran at %s", id, got.status, times[0].engine)
		}
	}
	if twice > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: %d unsafe requests ran more than once", twice))
	}
	if refused > 0 {
		broken = append(broken, fmt.Sprintf("REFUSED: %d unsafe requests were answered 503 and ran", refused))
	}
	return broken
}

// resumedTurn kills the hall of a turn's stream. The client takes the stream up at another
// hall, and continues the program with a further turn.
func resumedTurn(s *site, trouble bool) ([]string, error) {
	const events = 8
	if err := configure(s, []any{route("/walk/", "stream", "agent-models", map[string]any{"TimeoutMs": 4000, "MaxAttempts": 2, "Retained": true, "RetentionS": 60.0, "Resumable": true, "Sticky": true, "GapAimMs": 400})},
		[]any{service("agent-models", 32, true)}); err != nil {
		return nil, err
	}
	var engines []*engine
	for index := range 2 {
		e, err := newEngine(s, fmt.Sprintf("i-7f3a91c%d", index), "agent-models", zones[index], 32, 96)
		if err != nil {
			return nil, err
		}
		e.work, e.events = 50*time.Millisecond, events
		s.register(e)
		engines = append(engines, e)
	}
	if err := s.start(4, 4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var broken []string
	for round := range 3 {
		program := fmt.Sprintf("program-%d", round)
		first, second := fmt.Sprintf("first input %d|", round), fmt.Sprintf("second input %d|", round)
		victim := s.halls[round]
		other := s.halls[3]
		headers := map[string]string{"X-Program-Id": program, "X-Session-Id": "s-" + program, "X-Program-Deadline-Ms": "20000", "X-Token-Budget": "4608", "X-Token-Usage": "1840,576"}
		got := send(victim.address(frontPort), attempt{method: http.MethodPost, target: "/walk/turn", body: first, headers: headers, deadline: 4 * time.Second, onEvent: func(number int) {
			if trouble && number == 3 {
				s.record.printf("SIGKILL of %s while it relays the stream", victim.name)
				go victim.kill()
			}
		}})
		s.record.printf("turn 1 as %s at %s: %s; events received: %s", got.id, victim.name, got, strings.Join(eventData(got.body), " "))
		all := eventData(got.body)
		if trouble {
			for tries := 0; !(got.status == http.StatusOK && got.complete) && tries < 3; tries++ {
				resumed := map[string]string{"Last-Event-Id": fmt.Sprint(len(all))}
				for name, value := range headers {
					resumed[name] = value
				}
				got = send(other.address(frontPort), attempt{method: http.MethodPost, target: "/walk/turn", body: first, headers: resumed, deadline: 4 * time.Second, onEvent: func(int) {}})
				s.record.printf("turn 1 taken up with Last-Event-Id %d as %s at %s: %s; events received: %s", len(all), got.id, other.name, got, strings.Join(eventData(got.body), " "))
				if got.status == http.StatusOK {
					all = append(all, eventData(got.body)...)
				} else {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}
		if got.status != http.StatusOK || !got.complete || len(all) != events {
			s.record.printf("turn 1 did not succeed; the program ends")
			continue
		}
		next := map[string]string{"X-Previous-Turn": got.id}
		for name, value := range headers {
			next[name] = value
		}
		continued := send(other.address(frontPort), attempt{method: http.MethodPost, target: "/walk/turn", body: second, headers: next, deadline: 4 * time.Second, onEvent: func(int) {}})
		s.record.printf("turn 2 as %s with X-Previous-Turn %s at %s: %s", continued.id, got.id, other.name, continued)
		want := first + strings.Join(all, "\n") + "\n" + second
		for _, e := range engines {
			for _, r := range e.allRuns() {
				if r.id != continued.id {
					continue
				}
				s.record.printf("%s ran turn 2 with body %q; the chain is %q", r.engine, r.body, want)
				if r.body != want {
					broken = append(broken, fmt.Sprintf("UNASKED: turn %s ran without what the client got of the turn before: body %q, want %q", r.id, r.body, want))
				}
			}
		}
		if trouble {
			if err := s.launch(victim, zones[round], false); err != nil {
				return nil, err
			}
		}
	}
	return broken, nil
}

// eventData returns the data of the whole events in a body.
func eventData(body string) []string {
	var data []string
	for event := range strings.SplitSeq(body, "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if text, found := strings.CutPrefix(line, "data: "); found {
				data = append(data, text)
			}
		}
	}
	return data
}
