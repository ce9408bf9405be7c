package commands

import (
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
)

// The flags of the commands that act as a caller.
const (
	flagCallers        = "callers"
	flagTokenFile      = "token-file"
	flagIdempotencyKey = "idempotency-key"
)

func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagCallers, Usage: "URLs of callers' listeners", EnvVars: []string{"PERSIMMONPICK_CALLERS"}},
		&cli.StringFlag{Name: flagTokenFile, Usage: "file with the token of the team; the variable PERSIMMONPICK_TOKEN replaces it"},
		&cli.StringFlag{Name: flagIdempotencyKey, Usage: "idempotency key; with it a repeat does no harm"},
	}
}

// callAsCaller sends body and writes the answer to standard output as it is.
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
	does := nonIdempotent
	if c.String(flagIdempotencyKey) != "" {
		does = idempotent
	}
	got, err := client.do(c.Context, call{http.MethodPost, path, header, body, does})
	if err != nil {
		return err
	}
	if _, err := p.rawStdout.Write(got.body); err != nil {
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
