package cowslipproxy_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// requirePage compares a page with the text generated for it. If COWSLIP_DOCS is
// "write", which "make docs" sets, it writes the page first.
func requirePage(t *testing.T, name, want string) {
	path := filepath.Join("docs", name)
	if os.Getenv("COWSLIP_DOCS") == "write" {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o644))
	}
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "%s is out of date; run make docs", path)
}

// escapeCell escapes a text for a cell of a Markdown table.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }

// Guards against an event catalogue that differs from the events that the program
// logs, and against duplicate event numbers.
func TestEventsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Log events\n\n" +
		"For operators. Made from package `reporter` by `make docs`. Daemons write events to\n" +
		"standard error (`cowslipd relay`: to standard output), one JSON object a line, with\n" +
		"the number in the field `event`. A\n" +
		"number never changes its meaning. The setting `level` leaves out lower levels.\n\n" +
		"| event | level | text | meaning, and what to do |\n|---|---|---|---|\n")
	seen := map[int]bool{}
	for _, event := range reporter.Catalogue() {
		require.False(t, seen[event.Number], "duplicate event number %d", event.Number)
		seen[event.Number] = true
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.Number, event.Level, escapeCell(event.Text), escapeCell(event.Meaning))
	}
	requirePage(t, "events.md", page.String())
	requireUsed(t, "Event", "EventLinesDropped") // reporter logs it itself
}

// Guards against a settings page that lacks settings or has wrong ranges or default
// values.
func TestSettingsPage(t *testing.T) {
	required := []string{"-name=a", "-centre=b", "-callers=127.0.0.1:1", "-peers=127.0.0.1:2", "-operator=127.0.0.1:3", "-log=127.0.0.1:4", "-list=127.0.0.1:5"}
	defaults, err := loader.Load(required)
	require.NoError(t, err)
	args := required
	var page strings.Builder
	page.WriteString("# Settings of cowslipd\n\n" +
		"For operators. Made from package `loader` by `make docs`. Each setting is a flag\n" +
		"(`--wait 30s`), an environment variable (`COWSLIPD_WAIT=30s`) or a key of the YAML\n" +
		"file that `--settings FILE` or `COWSLIPD_SETTINGS` names. Flags go before the\n" +
		"environment, and the environment before the file. An empty value counts as not\n" +
		"given. Unknown and duplicate keys are errors. Settings are read once, at the start.\n\n" +
		"| name | variable | accepted | when not given | meaning |\n|---|---|---|---|---|\n")
	for _, field := range loader.Fields() {
		defaultText := "`" + field.Default + "`"
		if field.Default == "" {
			defaultText = "an error"
			if field.Name == "seeds" {
				defaultText = "none"
			}
		} else {
			args = append(args, "-"+field.Name+"="+field.Default)
		}
		fmt.Fprintf(&page, "| `%s` | `COWSLIPD_%s` | %s | %s | %s |\n", field.Name, strings.ToUpper(field.Name), field.Accepted(), defaultText, escapeCell(field.Meaning))
	}
	page.WriteString("\nIn the file `seeds` is a list. Each address is an IP address with a port, since a\n" +
		"daemon looks up no names. Example:\n\n" +
		"```yaml\nname: entry-1\ncentre: oyo-a\ncallers: 10.0.0.11:7001\npeers: 10.0.0.11:7002\noperator: 10.0.0.11:7003\n" +
		"log: 10.0.0.5:7100\nlist: 10.0.0.6:7300\nseeds: [\"10.0.0.12:7002\", \"10.0.0.13:7002\"]\nwait: 30s\n```\n")
	explicit, err := loader.Load(args)
	require.NoError(t, err)
	require.Equal(t, defaults, explicit, "a field's default differs from loader.Defaults")
	require.Equal(t, reflect.TypeFor[loader.Settings]().NumField(), len(loader.Fields()), "number of documented settings")
	requirePage(t, "settings.md", page.String())
}

// Guards against metrics that are missing on the page, and against metrics that the
// code never updates.
func TestMetricsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Metrics\n\n" +
		"For operators. Made from package `reporter` by `make docs`. A daemon answers\n" +
		"`GET /metrics` on its operator address in the Prometheus text format. Metrics that\n" +
		"counted nothing yet are absent. Times are summaries in seconds with the quantiles\n" +
		"0.5, 0.95 and 0.99 over about the last five minutes; their count is exact and their\n" +
		"sum is estimated. Labels are `outcome` and `reason` (see `callers.md`), `model`,\n" +
		"`class` and `service`. Counters start from 0 with the daemon.\n\n" +
		"| metric | name in the code | meaning |\n|---|---|---|\n")
	for _, metric := range constants(t, "reporter", "Metric") {
		fmt.Fprintf(&page, "| `%s` | `%s` | %s |\n", reporter.TextName(metric.value), metric.value, escapeCell(metric.comment))
	}
	page.WriteString("\n`OPERATIONS.md` says which ones to watch.\n")
	requirePage(t, "metrics.md", page.String())
	requireUsed(t, "Metric")
}

// Guards against a page for callers that lacks a header, an outcome, a reason with
// its status, or a path.
func TestCallersPage(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("docs", "callers.md"))
	require.NoError(t, err)
	page := string(data)
	headers := append(constants(t, "caller", "Header"), constants(t, filepath.Join("cowslipd", "router"), "header")...)
	for _, header := range headers {
		require.Contains(t, page, "`"+header.value+"`")
	}
	for _, outcome := range constants(t, ".", "Outcome") {
		require.Contains(t, page, "`"+outcome.value+"`")
	}
	for _, reason := range constants(t, ".", "Reason") {
		status := cowslipproxy.Refuse(cowslipproxy.Reason(reason.value), "").Status()
		require.Regexp(t, fmt.Sprintf("(?m)^\\| `%s` \\| %d ", reason.value, status), page)
	}
	server, err := os.ReadFile(filepath.Join("caller", "server.go"))
	require.NoError(t, err)
	for _, path := range regexp.MustCompile(`HandleFunc\("(/[^"{]*)`).FindAllStringSubmatch(string(server), -1) {
		require.Contains(t, page, path[1])
	}
}

type constant struct{ name, value, comment string }

// constants returns the string constants of a package whose names have a prefix.
func constants(t *testing.T, directory, prefix string) []constant {
	var found []constant
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	require.NoError(t, err)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || !strings.HasPrefix(spec.Names[0].Name, prefix) || len(spec.Values) != 1 {
				return true
			}
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				value, err := strconv.Unquote(literal.Value)
				require.NoError(t, err)
				found = append(found, constant{spec.Names[0].Name, value, strings.TrimSpace(spec.Comment.Text())})
			}
			return true
		})
	}
	require.NotEmpty(t, found)
	return found
}

// requireUsed checks that packages other than reporter use each of its names with
// the prefix, except those in own.
func requireUsed(t *testing.T, prefix string, own ...string) {
	var declared, others strings.Builder
	require.NoError(t, filepath.WalkDir(".", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if filepath.Dir(path) == "reporter" {
			declared.Write(data)
		} else {
			others.Write(data)
		}
		return err
	}))
	for _, match := range regexp.MustCompile(`(?m)^\t(`+prefix+`\w+)\s+=`).FindAllStringSubmatch(declared.String(), -1) {
		used := regexp.MustCompile(`\breporter\.` + match[1] + `\b`).MatchString(others.String())
		require.True(t, used || slices.Contains(own, match[1]), "nothing uses reporter.%s", match[1])
	}
}
