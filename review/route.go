package main

import (
	"net/http"
	"strings"
	"time"
)

// The case "route" is no case of the review; see REPORT.md.
func init() {
	cases["route"] = scenario{siteConfig{fronts: 2, engines: 2, apps: 2, shards: 12, engineStep: 15 * time.Millisecond, appWork: 20 * time.Millisecond}, playRoute}
}

// playRoute sends requests with an encoded slash in their path while the configuration adds a route whose
// prefix is that path with the slash decoded.
func playRoute(s *site) (bool, error) {
	other, err := startWorker(s.store, "i-audit0", "audit-app", zones[0], 6, false, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	const path = "/pay/lot%2F7"
	ask := func(count int) (statuses map[int]int) {
		statuses = map[int]int{}
		for n := range count {
			a := send(s.fronts[n%len(s.fronts)], request{method: http.MethodPost, path: path, body: "pay", deadline: 3 * time.Second})
			statuses[a.status]++
			s.logf("POST %s: %v %s", path, a, strings.TrimRight(a.body, "x"))
		}
		return statuses
	}
	s.logf("before: route /pay/ goes to trade-app: %v", ask(6))
	if s.trouble {
		s.addRoute(map[string]any{"name": "audit", "hostname": host, "path_prefix": "/pay/lot/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "audit-app", "max_attempts": 1})
		s.logf("the operator adds a route: /pay/lot/ goes to audit-app")
	}
	time.Sleep(3 * time.Second)
	s.logf("after: %v", ask(6))
	wrong := 0
	for _, e := range other.executed() {
		if e.path == path {
			wrong++
			s.logf("ROUTE: request %s, POST %s, was run by audit-app; only prefix /pay/ begins its path, and that goes to trade-app in every version", e.id, e.path)
		}
	}
	s.logf("%d requests run by a service to which no configuration sends them", wrong)
	return wrong > 0, nil
}
