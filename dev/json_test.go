package dev_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// postJSON sends a plain JSON request, as curl does, and returns the JSON object on each
// line of the answer.
func postJSON(t *testing.T, url, key, method, body string) []map[string]any {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/lavendervale.v1.ProgramService/"+method, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var lines []map[string]any
	for s := bufio.NewScanner(response.Body); s.Scan(); {
		var line map[string]any
		require.NoError(t, json.Unmarshal(s.Bytes(), &line), s.Text())
		lines = append(lines, line)
	}
	return lines
}

// TestPlainJSONClient starts and calls a program without a Connect client. A repeated key
// must return the same program, text must come before the result, and an invalid call must
// return one error object with its reason and the outcome not-run.
func TestPlainJSONClient(t *testing.T) {
	cluster := startFastCluster(t, 1)
	url, key := cluster.URL("entry-1"), cluster.CallerKey()
	started := postJSON(t, url, key, "Start", `{"class":"quote","key":"01942d5c-0000-7000-8000-000000000001"}`)
	require.Len(t, started, 1)
	again := postJSON(t, url, key, "Start", `{"class":"quote","key":"01942d5c-0000-7000-8000-000000000001"}`)
	require.Equal(t, started[0]["program"], again[0]["program"], "the same key started two programs")
	call := fmt.Sprintf(`{"handle":%q,"number":1,"model":{"messages":[{"role":"user","content":"hi"}],"maxTokens":3}}`, started[0]["handle"])
	lines := postJSON(t, url, key, "Call", call)
	require.GreaterOrEqual(t, len(lines), 2)
	require.Contains(t, lines[0], "text")
	result, ok := lines[len(lines)-1]["result"].(map[string]any)
	require.True(t, ok, "the last line is not a result: %v", lines)
	require.NotEmpty(t, result["handle"])
	tests := []struct {
		name   string
		body   string
		reason string
	}{
		{name: "not JSON", body: "{", reason: "invalid"},
		{name: "no work", body: fmt.Sprintf(`{"handle":%q,"number":2}`, result["handle"]), reason: "invalid"},
		{name: "wrong handle", body: `{"handle":"AAAA","number":2,"model":{"messages":[{"role":"user","content":"hi"}],"maxTokens":3}}`, reason: "denied"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lines := postJSON(t, url, key, "Call", test.body)
			require.Len(t, lines, 1)
			errorObject, ok := lines[0]["error"].(map[string]any)
			require.True(t, ok, "%v", lines)
			require.Equal(t, test.reason, errorObject["reason"])
			require.Equal(t, "not-run", errorObject["outcome"])
		})
	}
}
