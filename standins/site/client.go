package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var client = &http.Client{Timeout: 30 * time.Second}

// Call sends a request and returns the status code and body of the response. v is sent as the JSON body unless it is
// nil; a []byte is sent as it is.
func Call(method, url, token string, v any, header map[string]string) (int, []byte, error) {
	var body io.Reader
	switch v := v.(type) {
	case nil:
	case []byte:
		body = bytes.NewReader(v)
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// Get decodes the JSON response of a GET request into v. It fails if the status is not 200.
func Get(url, token string, v any) error {
	status, data, err := Call(http.MethodGet, url, token, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: %d %s", url, status, data)
	}
	return json.Unmarshal(data, v)
}

// Confirm creates a plan for an intent on one host and confirms it there.
func Confirm(operatorsURL string, intent any) error {
	plan, err := MakePlan(operatorsURL, intent)
	if err != nil {
		return err
	}
	status, data, err := Call(http.MethodPost, operatorsURL+"/v1/plans/confirm", "", plan, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("confirm: %d %s", status, data)
	}
	return err
}

// MakePlan creates a plan for an intent on a host and returns the plan as JSON.
func MakePlan(operatorsURL string, intent any) ([]byte, error) {
	status, data, err := Call(http.MethodPost, operatorsURL+"/v1/plans", "", intent, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("plan: %d %s", status, data)
	}
	return data, err
}
