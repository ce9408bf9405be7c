package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// sanitizer replaces control bytes, so that names chosen by callers cannot send escape sequences to the terminal.
type sanitizer struct {
	w io.Writer
}

// Write implements io.Writer.
func (p sanitizer) Write(data []byte) (int, error) {
	clean := make([]byte, len(data))
	for i, b := range data {
		if (b < ' ' && b != '\n' && b != '\t') || b == 0x7f {
			b = '?'
		}
		clean[i] = b
	}
	return p.w.Write(clean)
}

// grid writes rows with aligned columns.
type grid struct {
	w *tabwriter.Writer
}

func newGrid(w io.Writer, titles ...string) *grid {
	g := &grid{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	g.line(titles)
	return g
}

func (g *grid) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	g.line(texts)
}

func (g *grid) line(texts []string) {
	for i, text := range texts {
		if text == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(g.w, strings.Join(texts, "\t"))
}

// show writes v as JSON with -json, and with writeText otherwise.
func (p *program) show(c *cli.Context, v any, writeText func(w io.Writer) error) error {
	if !c.Bool(flagJSON) {
		return writeText(p.env.Stdout)
	}
	return writeJSON(p.env.Stdout, v)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fault.Wrap(err, fault.Internal, "write JSON")
	}
	return nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatResources(r table.Resources) string {
	text := fmt.Sprintf("%.1f cores, %.1f GB", float64(r.CPU)/1000, float64(r.Memory)/1e9)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}

func formatTime(at table.UnixMillis) string {
	if at == 0 {
		return ""
	}
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02 15:04:05")
}
