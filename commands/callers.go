package commands

import (
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
)

// Names of the flags of commands that act as a caller.
const (
	flagCallers        = "callers"
	flagTokenFile      = "token-file"
	flagIdempotencyKey = "idempotency-key"
)

func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagCallers, Usage: "URLs of callers' listeners", EnvVars: []string{"PERSIMMONPICK_CALLERS"}},
		&cli.StringFlag{Name: flagTokenFile, Usage: "file with the token of the team; the environment variable PERSIMMONPICK_TOKEN takes precedence"},
		&cli.StringFlag{Name: flagIdempotencyKey, Usage: "idempotency key, with which a repeat has no further effect"},
	}
}

// callAsCaller posts body to a callers' listener and writes the response body to standard output unchanged.
func (p *program) callAsCaller(c *cli.Context, path, contentType string, body []byte) error {
	urls := c.StringSlice(flagCallers)
	if len(urls) == 0 {
		return newUsageError("-%s or PERSIMMONPICK_CALLERS must name a URL", flagCallers)
	}
	client, err := newClient(c, urls)
	if err != nil {
		return err
	}
	header, err := callerHeader(c, contentType)
	if err != nil {
		return err
	}
	sideEffect := nonIdempotent
	if c.String(flagIdempotencyKey) != "" {
		sideEffect = idempotent
	}
	resp, err := client.do(c.Context, call{http.MethodPost, path, header, body, sideEffect})
	if err != nil {
		return err
	}
	if _, err := p.rawStdout.Write(resp.body); err != nil {
		return fault.Wrap(err, fault.Internal, "write the answer")
	}
	return nil
}

func callerHeader(c *cli.Context, contentType string) (http.Header, error) {
	header := http.Header{"Content-Type": {contentType}}
	if key := c.String(flagIdempotencyKey); key != "" {
		header.Set("Idempotency-Key", key)
	}
	token := os.Getenv("PERSIMMONPICK_TOKEN")
	if name := c.String(flagTokenFile); token == "" && name != "" {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "read the token")
		}
		token = strings.TrimSpace(string(data))
	}
	if token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
	return header, nil
}
